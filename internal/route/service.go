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
	// recentUrgent is how long slots are kept back for a class after its last request.
	recentUrgent = 10 * time.Second
	// rateGain is the weight of a new sample in moving averages.
	rateGain = 0.05
	// servedHalfLife is the cost, in tokens, after which the record of what
	// each class was served has lost half of its weight.
	servedHalfLife = 20000
	// shortestFactor is the part of the usual duration that a request surely takes.
	shortestFactor = 0.5
)

// maxUse is the share of the slots that a class may fill while a more urgent
// one is in use.
var maxUse = [classes]float64{1, 0.9, 0.7}

// minServed is the share of the served cost that each class gets while it waits.
var minServed = [classes]float64{0, 0.1, 0.1}

// pending is a waiting request.
type pending struct {
	item    *fairqueue.Item
	query   Query
	class   int
	version string
}

// service is what waits and runs of one service at this host.
type service struct {
	name     string
	queues   [classes]*fairqueue.Queue
	waiting  map[uint64]*pending
	inFlight [classes]int
	served   [classes]float64
	arrived  [classes]time.Time
	// perToken is the usual time that a slot is taken for each token of cost.
	perToken time.Duration
}

func newService(name string) *service {
	s := &service{name: name, waiting: map[uint64]*pending{}}
	for class := range s.queues {
		s.queues[class] = fairqueue.New()
	}
	return s
}

func (s *service) add(now time.Time, p *pending) {
	s.waiting[p.item.ID] = p
	s.queues[p.class].Push(p.item)
	s.arrived[p.class] = now
}

func (s *service) remove(p *pending) {
	s.queues[p.class].Remove(p.item)
	delete(s.waiting, p.item.ID)
}

// started records that a request left its queue for an upstream.
func (s *service) started(p *pending) {
	delete(s.waiting, p.item.ID)
	s.inFlight[p.class]++
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
	s.inFlight[classIndex(e.Class)]--
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
func (s *service) admits(now time.Time, class, free, slots int) bool {
	if s.queues[class].Len() == 0 || free == 0 {
		return false
	}
	if class == interactive || !s.urgentSince(now, class) {
		return true
	}
	taken := 0
	for less := class; less < classes; less++ {
		taken += s.inFlight[less]
	}
	return taken < max(1, int(maxUse[class]*float64(slots)))
}

// urgentSince reports whether a more urgent class was in use lately.
func (s *service) urgentSince(now time.Time, class int) bool {
	for urgent := range class {
		if s.inFlight[urgent] > 0 || now.Sub(s.arrived[urgent]) < recentUrgent {
			return true
		}
	}
	return false
}

// wait estimates how long a request waits for one of a number of slots.
func (s *service) wait(p *pending, slots int) time.Duration {
	if s.perToken == 0 || slots == 0 {
		return 0
	}
	cost := s.queues[p.class].Ahead(p.item.Customer, p.item.Share) - p.item.Cost
	for urgent := range p.class {
		cost += s.queues[urgent].Cost()
	}
	wait := cost * float64(s.perToken) / (float64(slots) * maxUse[p.class])
	return time.Duration(min(wait, math.MaxInt64/2))
}

// expire ends the waits that are out of time.
func (s *service) expire(now time.Time, out []Assignment) []Assignment {
	for _, q := range s.queues {
		for _, it := range q.Expired(now) {
			delete(s.waiting, it.ID)
			out = append(out, Assignment{ID: it.ID, Err: ErrDeadline})
		}
	}
	return out
}
