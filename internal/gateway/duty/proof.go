package duty

import (
	"context"

	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// ProvenVersion reads the newest configuration version that a holder of the duties knew to be
// in force, and the epoch of the log in which it was read. The version is 0 if no host has
// held the duties in that epoch: what a copy of the log says may be old. It reports by known
// whether the log has a ledger at all.
func ProvenVersion(ctx context.Context, log topic.Keyed) (version, epoch int64, known bool, err error) {
	entries, end, err := log.Newest(ctx, ledgerTopic)
	if err != nil {
		return 0, 0, false, err
	}
	ledger, known, err := newestLedger(entries)
	if err != nil {
		return 0, 0, false, err
	}
	if ledger.OfEpoch(end.Epoch) {
		version = ledger.ConfigVersion
	}
	return version, end.Epoch, known, nil
}
