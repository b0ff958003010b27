package document

import (
	"fmt"
	"math"
	"regexp"

	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// goalTolerance is the allowed deviation of the sum of goals from 1.
const goalTolerance = 1e-6

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Parse decodes and validates a document. Its error is of type jsonc.Faults and
// lists all faults found: syntax errors prevent decoding, and errors of decoding
// prevent validation.
func Parse(src []byte) (*Document, error) {
	parsed, err := jsonc.Parse(src)
	if err != nil {
		return nil, err
	}
	var doc Document
	if faults := parsed.Decode(&doc); len(faults) > 0 {
		faults.Sort()
		return nil, faults
	}
	c := checker{source: parsed}
	c.document(&doc)
	c.faults.Sort()
	if err := c.faults.Err(); err != nil {
		return nil, err
	}
	return &doc, nil
}

// checker collects the faults of a decoded document.
type checker struct {
	source *jsonc.Document
	faults jsonc.Faults
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, c.source.Fault(path, format, args...))
	}
}

// names checks that the names of a list's elements are well formed and unique.
func (c *checker) names(path string, count int, name func(int) string) {
	seen := map[string]bool{}
	for i := range count {
		at := fmt.Sprintf("%s/%d/name", path, i)
		c.require(namePattern.MatchString(name(i)), at,
			"%q is not a name of lower-case letters, digits and hyphens", name(i))
		c.require(!seen[name(i)], at, "%q is given twice", name(i))
		seen[name(i)] = true
	}
}

func (c *checker) document(doc *Document) {
	c.require(len(doc.Services) > 0, "/services", "want at least one service")
	c.require(len(doc.AvailabilityZones) > 0, "/availabilityZones", "want at least one availability zone")
	c.names("/services", len(doc.Services), func(i int) string { return doc.Services[i].Name })
	c.names("/availabilityZones", len(doc.AvailabilityZones), func(i int) string { return doc.AvailabilityZones[i].Name })
	c.names("/customers", len(doc.Customers), func(i int) string { return doc.Customers[i].Name })
	c.names("/teams", len(doc.Teams), func(i int) string { return doc.Teams[i].Name })
	for i := range doc.Services {
		c.service(doc, &doc.Services[i], fmt.Sprintf("/services/%d", i))
	}
	for i := range doc.AvailabilityZones {
		c.zone(&doc.AvailabilityZones[i], fmt.Sprintf("/availabilityZones/%d", i))
	}
	for i := range doc.Customers {
		c.customer(doc, &doc.Customers[i], fmt.Sprintf("/customers/%d", i))
	}
	for i, team := range doc.Teams {
		c.require(hashPattern.MatchString(team.TokenHash), fmt.Sprintf("/teams/%d/tokenHash", i),
			"want the SHA-256 of a token as 64 hexadecimal digits")
	}
}

func (c *checker) service(doc *Document, s *Service, path string) {
	c.require(s.Kind == KindEngine || s.Kind == KindPlain, path+"/kind", `want "engine" or "plain"`)
	c.team(doc, s.Team, path+"/team")
	c.require(len(s.Routes) > 0, path+"/routes", "want at least one route")
	c.require(len(s.Versions) > 0, path+"/versions", "want at least one version")
	c.names(path+"/routes", len(s.Routes), func(i int) string { return s.Routes[i].Name })
	c.names(path+"/versions", len(s.Versions), func(i int) string { return s.Versions[i].Name })
	for i := range s.Routes {
		c.route(s.Kind, &s.Routes[i], fmt.Sprintf("%s/routes/%d", path, i))
	}
	c.versions(s.Versions, path+"/versions")
	c.traits(&s.Upstream, path+"/upstream")
	if s.Hosts != nil {
		c.require(s.Hosts.Min >= 0 && s.Hosts.Min <= s.Hosts.Max, path+"/hosts", "want 0 <= min <= max")
	}
}

func (c *checker) route(kind Kind, r *Route, path string) {
	known := r.Class == ClassInteractive || r.Class == ClassStandard || r.Class == ClassBatch
	c.require(known, path+"/class", `want "interactive", "standard" or "batch"`)
	c.require(r.Deadline > 0, path+"/deadline", "want a duration above 0")
	c.require(r.Objective > 0 && r.Objective < 1, path+"/objective", "want a share above 0 and below 1")
	if kind == KindEngine {
		c.require(r.FirstToken > 0, path+"/firstToken", "an engine's route needs a target")
		c.require(r.BetweenTokens > 0, path+"/betweenTokens", "an engine's route needs a target")
		c.require(r.MaxTokens > 0, path+"/maxTokens", "an engine's route needs a bound")
		return
	}
	c.require(r.FirstToken == 0, path+"/firstToken", "a plain route has no tokens")
	c.require(r.BetweenTokens == 0, path+"/betweenTokens", "a plain route has no tokens")
	c.require(r.MaxTokens == 0, path+"/maxTokens", "a plain route has no tokens")
}

func (c *checker) versions(versions []Version, path string) {
	sum := 0.0
	for i, v := range versions {
		c.require(v.Goal >= 0 && v.Goal <= 1, fmt.Sprintf("%s/%d/goal", path, i), "want a share from 0 to 1")
		sum += v.Goal
	}
	c.require(math.Abs(sum-1) <= goalTolerance, path, "goals sum to %g, not to 1", sum)
}

func (c *checker) traits(t *Traits, path string) {
	c.require(t.MaxInFlight > 0, path+"/maxInFlight", "want a number above 0")
	c.require(t.ColdInFlight > 0 && t.ColdInFlight <= t.MaxInFlight, path+"/coldInFlight",
		"want a number above 0 and at most maxInFlight")
	c.require(t.ColdStart >= 0, path+"/coldStart", "want a duration of at least 0")
}

func (c *checker) zone(z *AvailabilityZone, path string) {
	c.require(z.State == ZoneServing || z.State == ZoneExcluded, path+"/state", `want "in" or "out"`)
	c.require(namePattern.MatchString(z.Region), path+"/region", "%q is not a name", z.Region)
	for class, price := range z.Prices {
		at := path + "/prices/" + string(class)
		c.require(class == Reclaimable || class == OnDemand, at, `want "reclaimable" or "on-demand"`)
		c.require(price > 0, at, "want a price above 0")
	}
}

func (c *checker) customer(doc *Document, customer *Customer, path string) {
	c.team(doc, customer.Team, path+"/team")
	c.require(customer.Share > 0, path+"/share", "want a weight above 0")
	c.require(customer.MaxInFlight >= 0, path+"/maxInFlight", "want a number of at least 0")
	c.require(customer.TokenHash == "" || hashPattern.MatchString(customer.TokenHash), path+"/tokenHash",
		"want the SHA-256 of a token as 64 hexadecimal digits")
}

func (c *checker) team(doc *Document, name, path string) {
	if name == "" {
		return
	}
	for _, team := range doc.Teams {
		if team.Name == name {
			return
		}
	}
	c.require(false, path, "no team %q", name)
}
