package ingress

import (
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
)

// listenLocal listens on a local port until the test has ended.
func listenLocal(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// acceptAll passes each connection of the listener to the function, and closes it afterwards.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serve(conn)
		}()
	}
}

// listenRaw starts a target that passes each of its connections to the function.
func listenRaw(t testing.TB, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	listener := listenLocal(t)
	go acceptAll(listener, serve)
	return netip.MustParseAddrPort(listener.Addr().String())
}

// newFixtureAt returns a fixture with targets at the addresses, which are spread over the services of the route.
func newFixtureAt(t *testing.T, route catalogue.Route, addresses ...netip.AddrPort) *fixture {
	t.Helper()
	route.Name, route.Host, route.Prefix, route.Timeout, route.Goal = "r", "h.example", "/x/", 5*time.Second, 2*time.Second
	targetCatalogue := catalogue.New()
	names := route.ServiceNames()
	var services []catalogue.Service
	for _, name := range names {
		services = append(services, catalogue.Service{Name: name, MaxConnections: 100})
	}
	for i, address := range addresses {
		targetCatalogue.Register(catalogue.Target{ID: "in-" + strconv.Itoa(i), Service: names[i%len(names)], DataCentre: "a", Slots: 8, Address: address})
	}
	targetCatalogue.Configure(catalogue.NewConfiguration(1, []catalogue.Route{route}, services, catalogue.Limits{}))
	fixture := &fixture{records: &records{}}
	fixture.serve(targetCatalogue)
	return fixture
}
