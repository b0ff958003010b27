package route

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/fairqueue"
)

// Indices of the classes, most urgent first.
const (
	interactive = iota
	standard
	batch
	numClasses
)

func classIndex(c document.Class) int {
	switch c {
	case document.ClassInteractive:
		return interactive
	case document.ClassBatch:
		return batch
	default:
		return standard
	}
}

const (
	// perTokenGain is the weight of a new sample in the moving average of the time
	// per token.
	perTokenGain = 0.05
	// servedHalfLife is the total served cost, in tokens, at which the served costs
	// of all classes are halved.
	servedHalfLife = 20000
	// minDurationFactor is the part of the average duration that a request is
	// assumed to take at least.
	minDurationFactor = 0.5
)

const (
	// measureInterval is the shortest time between two estimates of need.
	measureInterval = 10 * time.Millisecond
	// needRiseTime and needFallTime are the time constants with which service.need
	// follows a rise and a fall in demand; recentDemandTime is that of
	// service.recentDemand.
	needRiseTime     = 2 * time.Second
	needFallTime     = 30 * time.Second
	recentDemandTime = 3 * time.Second
	// headroom is the factor on a class's need that less urgent classes leave free.
	headroom = 1.25
)

// minSlotShare is the share of the slots that a class may always fill, and
// minServedShare the share of the served cost below which a class with waiting
// requests is served first.
var (
	minSlotShare   = [numClasses]float64{1, 0.15, 0.1}
	minServedShare = [numClasses]float64{0, 0.1, 0.05}
)

// pending is a waiting request.
type pending struct {
	item    *fairqueue.Item
	query   Query
	class   int
	version string
	// explores is set when the request prefers cold upstreams, which need
	// successful responses to become warm.
	explores bool
}

// service holds the waiting requests to one service at this host and counts
// those in flight.
type service struct {
	name      string
	queues    [numClasses]*fairqueue.Queue
	waiting   map[uint64]*pending
	inFlight  [numClasses]int
	served    [numClasses]float64
	customers *customers
	// slots is the last counted number of slots of this host.
	slots int
	// need estimates the slots that each class needs, and recentDemand averages its
	// waiting and in-flight requests, as of measured. Coordinators receive the
	// latter, without the batch class, as urgent demand.
	need         [numClasses]float64
	recentDemand [numClasses]float64
	measured     time.Time
	// perToken is the average time that a slot is in use per token of cost.
	perToken time.Duration
}

func newService(name string) *service {
	s := &service{name: name, waiting: map[uint64]*pending{}, customers: newCustomers()}
	for class := range s.queues {
		s.queues[class] = fairqueue.New()
	}
	return s
}

func (s *service) add(p *pending) {
	s.waiting[p.item.ID] = p
	s.queues[p.class].Push(p.item)
	s.customers.getOrAdd(p.item.Customer, p.item.Weight).waiting[p.class]++
}

// measure updates the estimates of demand to now.
func (s *service) measure(now time.Time) {
	elapsed := now.Sub(s.measured)
	if elapsed < measureInterval {
		return
	}
	if s.measured.IsZero() {
		elapsed = measureInterval
	}
	s.measured = now
	s.customers.prune(now)
	for class := range s.need {
		demand := s.customers.demand(class, s.slots)
		timeConstant := needFallTime
		if demand > s.need[class] {
			timeConstant = needRiseTime
		}
		s.need[class] += (demand - s.need[class]) * gain(elapsed, timeConstant)
		current := float64(s.inFlight[class] + s.queues[class].Len())
		s.recentDemand[class] += (current - s.recentDemand[class]) * gain(elapsed, recentDemandTime)
	}
}

// gain returns the weight of a sample of duration elapsed in an exponential moving
// average with the given time constant.
func gain(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

func (s *service) remove(p *pending) {
	s.queues[p.class].Remove(p.item)
	s.dequeued(p)
}

// dequeued updates the counts for a request that is no longer in its queue.
func (s *service) dequeued(p *pending) {
	delete(s.waiting, p.item.ID)
	s.customers.getOrAdd(p.item.Customer, 0).waiting[p.class]--
}

// started updates the counts for a request that was taken from its queue and
// assigned to an upstream.
func (s *service) started(p *pending) {
	s.dequeued(p)
	s.inFlight[p.class]++
	s.customers.getOrAdd(p.item.Customer, 0).inFlight[p.class]++
	s.served[p.class] += p.item.Cost
	total := 0.0
	for _, cost := range s.served {
		total += cost
	}
	if total < servedHalfLife {
		return
	}
	for class := range s.served {
		s.served[class] /= 2
	}
}

func (s *service) ended(now time.Time, e Ended) {
	class := classIndex(e.Class)
	s.inFlight[class]--
	s.customers.getOrAdd(e.Customer, 0).inFlight[class]--
	sample := float64(now.Sub(e.Started)) / float64(max(1, e.Cost))
	if s.perToken == 0 {
		s.perToken = time.Duration(sample)
		return
	}
	s.perToken += time.Duration(perTokenGain * (sample - float64(s.perToken)))
}

// minDuration returns the time that a request is assumed to take at least.
func (s *service) minDuration(cost int) time.Duration {
	return time.Duration(minDurationFactor * float64(s.perToken) * float64(cost))
}

// order returns the classes in the order in which they are served: a waiting
// class that got less than its minimum share first, then by urgency.
func (s *service) order() [numClasses]int {
	order := [numClasses]int{interactive, standard, batch}
	total := 0.0
	for _, cost := range s.served {
		total += cost
	}
	for class := standard; class < numClasses; class++ {
		if s.queues[class].Len() > 0 && s.served[class] < minServedShare[class]*total {
			copy(order[1:class+1], order[:class])
			order[0] = class
		}
	}
	return order
}

// admits reports whether a class may fill another slot.
func (s *service) admits(class, slots int) bool {
	if s.queues[class].Len() == 0 {
		return false
	}
	if class == interactive {
		return true
	}
	return s.slotsInUse(class) < s.allowed(class, slots)
}

// slotsInUse returns the number of slots that a class and the less urgent ones use.
func (s *service) slotsInUse(class int) int {
	used := 0
	for lower := class; lower < numClasses; lower++ {
		used += s.inFlight[lower]
	}
	return used
}

// allowed returns the number of slots that a class may fill: those that more
// urgent classes do not need, but at least its minimum share and one slot.
func (s *service) allowed(class, slots int) int {
	left := float64(slots)
	for higher := range class {
		left -= headroom * s.need[higher]
	}
	return max(1, int(left), int(minSlotShare[class]*float64(slots)))
}

// urgent returns the recent demand of all classes but batch, in slots.
func (s *service) urgent() int {
	return int(math.Ceil(s.recentDemand[interactive] + s.recentDemand[standard]))
}

// estimateWait estimates how long a queued request waits for one of a number of
// slots. It returns 0 if no request has ended yet or there are no slots.
func (s *service) estimateWait(p *pending, slots int) time.Duration {
	if s.perToken == 0 || slots == 0 {
		return 0
	}
	cost := s.queues[p.class].CostAhead(p.item.Customer, p.item.Weight) - p.item.Cost
	wait := cost * float64(s.perToken) / float64(s.allowed(p.class, slots))
	return time.Duration(min(wait, math.MaxInt64/2))
}

// expire ends the waits of requests past their deadlines.
func (s *service) expire(now time.Time, out []Assignment) []Assignment {
	for _, q := range s.queues {
		for _, it := range q.Expired(now) {
			s.dequeued(s.waiting[it.ID])
			out = append(out, Assignment{ID: it.ID, Err: ErrDeadline})
		}
	}
	return out
}
