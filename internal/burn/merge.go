package burn

import (
	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

// Merge returns the sum of the reports of several hosts, without their lists of
// hosts.
func Merge(reports []*peerv1.InspectResponse) *peerv1.InspectResponse {
	merged := &peerv1.InspectResponse{}
	series := map[string]*peerv1.BurnSeries{}
	causes := map[string]*peerv1.BurnCause{}
	for _, report := range reports {
		for _, entry := range report.GetSeries() {
			name := seriesName(entry)
			if series[name] == nil {
				series[name] = &peerv1.BurnSeries{
					Service: entry.GetService(), Route: entry.GetRoute(), Customer: entry.GetCustomer(),
				}
				merged.Series = append(merged.Series, series[name])
			}
			addSeries(series[name], entry)
		}
		for _, entry := range report.GetCauses() {
			name := causeName(entry)
			if causes[name] == nil {
				causes[name] = &peerv1.BurnCause{
					Service: entry.GetService(), Route: entry.GetRoute(), Version: entry.GetVersion(),
					Zone: entry.GetZone(), Upstream: entry.GetUpstream(),
				}
				merged.Causes = append(merged.Causes, causes[name])
			}
			causes[name].Windows = addCounts(causes[name].Windows, entry.GetWindows())
			causes[name].Burned = addNumbers(causes[name].Burned, entry.GetBurned())
		}
	}
	sortReport(merged)
	return merged
}

func addSeries(sum, entry *peerv1.BurnSeries) {
	sum.Windows = addCounts(sum.Windows, entry.GetWindows())
	for _, reason := range entry.GetReasons() {
		found := false
		for _, known := range sum.Reasons {
			if known.GetReason() == reason.GetReason() {
				known.Bad = addNumbers(known.Bad, reason.GetBad())
				found = true
			}
		}
		if !found {
			sum.Reasons = append(sum.Reasons, &peerv1.BurnReason{
				Reason: reason.GetReason(), Bad: addNumbers(nil, reason.GetBad()),
			})
		}
	}
}

// addCounts adds counts by window; hosts of another release may send fewer
// windows.
func addCounts(sum, more []*peerv1.BurnCount) []*peerv1.BurnCount {
	for len(sum) < len(Windows) {
		sum = append(sum, &peerv1.BurnCount{})
	}
	for i := range min(len(sum), len(more)) {
		sum[i].Total += more[i].GetTotal()
		sum[i].Bad += more[i].GetBad()
	}
	return sum
}

func addNumbers(sum, more []int64) []int64 {
	for len(sum) < len(Windows) {
		sum = append(sum, 0)
	}
	for i := range min(len(sum), len(more)) {
		sum[i] += more[i]
	}
	return sum
}
