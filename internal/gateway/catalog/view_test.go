package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

func TestRouteMatchesLongestPrefixOfHost(t *testing.T) {
	v := &catalog.View{Document: &catalog.Document{Routes: []catalog.Route{
		{Name: "short", HostName: "a", PathPrefix: "/x/"},
		{Name: "long", HostName: "a", PathPrefix: "/x/y/"},
		{Name: "other", HostName: "b", PathPrefix: "/x/y/z/"},
	}}}
	v.Index()
	require.Equal(t, "long", v.Route("a", "/x/y/z/1").Name)
	require.Equal(t, "short", v.Route("a:80", "/x/1").Name)
	require.Equal(t, "other", v.Route("b", "/x/y/z/").Name)
	require.Nil(t, v.Route("a", "/x"))
	require.Nil(t, v.Route("c", "/x/"))
}

func TestRepeatableRoutes(t *testing.T) {
	for want, routes := range map[bool][]catalog.Route{
		true:  {{Kind: catalog.Idempotent}, {Kind: catalog.Stream, Resumable: true}},
		false: {{Kind: catalog.AtMostOnce}, {Kind: catalog.Stream}, {Kind: catalog.AtMostOnce, Resumable: true}},
	} {
		for i := range routes {
			require.Equal(t, want, routes[i].Repeatable())
		}
	}
}
