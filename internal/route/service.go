package route

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/fairqueue"
)

// The classes as indices, most urgent first.
const (
	interactive = iota
	standard
	batch
	classes
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
	// rateGain is the weight of a new sample in moving averages.
	rateGain = 0.05
	// servedHalfLife is the cost, in tokens, after which the record of what
	// each class was served has lost half of its weight.
	servedHalfLife = 20000
	// shortestFactor is the part of the usual duration that a request surely takes.
	shortestFactor = 0.5
)

const (
	// measureInterval is the shortest time between two estimates of need.
	measureInterval = 10 * time.Millisecond
	// needRise and needFall are the times in which the estimate of the slots
	// that a class needs follows a rise and a fall; recentTime is that of the
	// estimate that goes to coordinators.
	needRise   = 2 * time.Second
	needFall   = 30 * time.Second
	recentTime = 3 * time.Second
	// headroom is the part of its need that is kept free for a class beside it.
	headroom = 1.25
)

// minSlots is the share of the slots that a class may fill in any case, and
// minServed the share of the served cost that it gets while it waits.
var (
	minSlots  = [classes]float64{1, 0.15, 0.1}
	minServed = [classes]float64{0, 0.1, 0.05}
)

// pending is a waiting request.
type pending struct {
	item    *fairqueue.Item
	query   Query
	class   int
	version string
	// explores tells that the request prefers cold upstreams, which need good
	// answers to become warm.
	explores bool
}

// service is what waits and runs of one service at this host.
type service struct {
	name     string
	queues   [classes]*fairqueue.Queue
	waiting  map[uint64]*pending
	inFlight [classes]int
	served   [classes]float64
	// customers holds the active customers; slots is the number of slots of
	// this host when it was counted last.
	customers *customers
	slots     int
	// need estimates the slots that each class needs, as of measured.
	need     [classes]float64
	recent   [classes]float64
	measured time.Time
	// perToken is the usual time that a slot is taken for each token of cost.
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
	s.customers.get(p.item.Customer, p.item.Share).waiting[p.class]++
}

// measure brings the estimates of need up to a time.
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
		follow := needFall
		if demand > s.need[class] {
			follow = needRise
		}
		s.need[class] += (demand - s.need[class]) * gain(elapsed, follow)
		asked := float64(s.inFlight[class] + s.queues[class].Len())
		s.recent[class] += (asked - s.recent[class]) * gain(elapsed, recentTime)
	}
}

// gain returns the weight of a sample that holds for a time in an average over
// another time.
func gain(elapsed, over time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/over.Seconds())
}

func (s *service) remove(p *pending) {
	s.queues[p.class].Remove(p.item)
	s.left(p)
}

// left records that a request is no longer in its queue.
func (s *service) left(p *pending) {
	delete(s.waiting, p.item.ID)
	s.customers.get(p.item.Customer, 0).waiting[p.class]--
}

// started records that a request left its queue for an upstream.
func (s *service) started(p *pending) {
	s.left(p)
	s.inFlight[p.class]++
	s.customers.get(p.item.Customer, 0).inFlight[p.class]++
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
	s.customers.get(e.Customer, 0).inFlight[class]--
	sample := float64(now.Sub(e.Started)) / float64(max(1, e.Cost))
	if s.perToken == 0 {
		s.perToken = time.Duration(sample)
		return
	}
	s.perToken += time.Duration(rateGain * (sample - float64(s.perToken)))
}

// shortest returns the time that a request surely takes.
func (s *service) shortest(cost int) time.Duration {
	return time.Duration(shortestFactor * float64(s.perToken) * float64(cost))
}

// order returns the classes in the order in which they are served: a class
// that got less than its least share first, then by urgency.
func (s *service) order() [classes]int {
	order := [classes]int{interactive, standard, batch}
	total := 0.0
	for _, cost := range s.served {
		total += cost
	}
	for class := standard; class < classes; class++ {
		if s.queues[class].Len() > 0 && s.served[class] < minServed[class]*total {
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
	return s.taken(class) < s.allowed(class, slots)
}

// taken counts the slots of a class and of the less urgent ones.
func (s *service) taken(class int) int {
	taken := 0
	for less := class; less < classes; less++ {
		taken += s.inFlight[less]
	}
	return taken
}

// allowed returns the slots that a class may fill: those that more urgent
// classes do not need, and a small share in any case.
func (s *service) allowed(class, slots int) int {
	left := float64(slots)
	for urgent := range class {
		left -= headroom * s.need[urgent]
	}
	return max(1, int(left), int(minSlots[class]*float64(slots)))
}

// urgent returns the slots that all but the batch class need.
func (s *service) urgent() int {
	return int(math.Ceil(s.recent[interactive] + s.recent[standard]))
}

// wait estimates how long a request waits for one of a number of slots.
func (s *service) wait(p *pending, slots int) time.Duration {
	if s.perToken == 0 || slots == 0 {
		return 0
	}
	cost := s.queues[p.class].CostAhead(p.item.Customer, p.item.Share) - p.item.Cost
	wait := cost * float64(s.perToken) / float64(s.allowed(p.class, slots))
	return time.Duration(min(wait, math.MaxInt64/2))
}

// expire ends the waits that are out of time.
func (s *service) expire(now time.Time, out []Assignment) []Assignment {
	for _, q := range s.queues {
		for _, it := range q.Expired(now) {
			s.left(s.waiting[it.ID])
			out = append(out, Assignment{ID: it.ID, Err: ErrDeadline})
		}
	}
	return out
}
