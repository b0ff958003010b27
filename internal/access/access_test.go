package access_test

import (
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/access"
	"github.com/marigoldmux/marigoldmux/internal/document"
)

func TestIdentify(t *testing.T) {
	operators := []access.Account{{Name: "ana", Role: access.RoleOperator, TokenHash: access.HashToken("secret")}}
	doc := &document.Document{Teams: []document.Team{{Name: "cakes", TokenHash: access.HashToken("sponge")}}}
	cases := []struct {
		name, remote, host, token, forwarded string
		accounts                             []access.Account
		want                                 access.Role
	}{
		{name: "loopback without accounts", remote: "127.0.0.1:9", host: "127.0.0.1:80", want: access.RoleOperator},
		{name: "loopback by IPv6", remote: "[::1]:9", host: "[::1]:80", want: access.RoleOperator},
		{name: "another machine", remote: "10.0.0.7:9", host: "127.0.0.1:80"},
		{name: "through a proxy", remote: "127.0.0.1:9", host: "127.0.0.1:80", forwarded: "10.0.0.7"},
		{name: "rebound name", remote: "127.0.0.1:9", host: "evil.example:80"},
		{name: "loopback with accounts", remote: "127.0.0.1:9", host: "127.0.0.1:80", accounts: operators},
		{name: "token", remote: "10.0.0.7:9", host: "entry:80", token: "secret", accounts: operators, want: access.RoleOperator},
		{name: "wrong token on loopback", remote: "127.0.0.1:9", host: "127.0.0.1:80", token: "guess"},
		{name: "token of a team", remote: "10.0.0.7:9", host: "entry:80", token: "sponge", want: access.RoleTeam},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest("GET", "/", nil)
			r.RemoteAddr, r.Host = c.remote, c.host
			if c.token != "" {
				r.SetBasicAuth("any", c.token)
			}
			if c.forwarded != "" {
				r.Header.Set("X-Forwarded-For", c.forwarded)
			}
			id, err := access.Identify(r, c.accounts, doc)
			require.Equal(t, c.want, id.Role)
			require.Equal(t, c.want == "", err != nil)
		})
	}
}

func TestTeamChangesOnlyItsOwn(t *testing.T) {
	before := &document.Document{
		Services:          []document.Service{{Name: "advice", Team: "cakes"}, {Name: "booking"}},
		AvailabilityZones: []document.AvailabilityZone{{Name: "a", State: document.ZoneServing}},
		Customers:         []document.Customer{{Name: "chat", Team: "cakes", Share: 1}, {Name: "office", Share: 1}},
		Teams:             []document.Team{{Name: "cakes"}},
	}
	team := access.Identity{Role: access.RoleTeam, Team: "cakes"}
	cases := []struct {
		name   string
		change func(*document.Document)
		path   string
	}{
		{"nothing", func(*document.Document) {}, ""},
		{"own service", func(d *document.Document) { d.Services[0].Kind = document.KindEngine }, ""},
		{"own customer", func(d *document.Document) { d.Customers[0].Share = 9 }, ""},
		{"own new service", func(d *document.Document) {
			d.Services = append(d.Services, document.Service{Name: "x", Team: "cakes"})
		}, ""},
		{"own service removed", func(d *document.Document) { d.Services = d.Services[1:] }, ""},
		{"another's service", func(d *document.Document) { d.Services[1].Kind = document.KindEngine }, "/services/1"},
		{"another's service taken over", func(d *document.Document) { d.Services[1].Team = "cakes" }, "/services/1"},
		{"own service given away", func(d *document.Document) { d.Services[0].Team = "" }, "/services/0"},
		{"another's customer removed", func(d *document.Document) { d.Customers = d.Customers[:1] }, "/customers"},
		{"a zone", func(d *document.Document) { d.AvailabilityZones[0].State = document.ZoneExcluded }, "/availabilityZones"},
		{"a team", func(d *document.Document) { d.Teams[0].TokenHash = "x" }, "/teams"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			after := &document.Document{
				Services: slices.Clone(before.Services), AvailabilityZones: slices.Clone(before.AvailabilityZones),
				Customers: slices.Clone(before.Customers), Teams: slices.Clone(before.Teams),
			}
			c.change(after)
			err := team.MayPut(before, after)
			if c.path == "" {
				require.NoError(t, err)
				return
			}
			var denial *access.Denial
			require.ErrorAs(t, err, &denial)
			require.Equal(t, c.path, denial.Path)
		})
	}
	require.ErrorIs(t, access.Identity{Role: access.RoleViewer}.MayPut(before, before), access.ErrDenied)
}
