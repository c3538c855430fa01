package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
)

// answerAll answers each request on the connection with a signed result of 64 bytes.
func answerAll(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\nServer-Load: 1,0,4\r\nContent-Length: 64\r\n\r\n%064d",
			request.Header.Get("Request-Id"), 7)
		if err != nil {
			return
		}
	}
}

// BenchmarkScatterGather measures one scatter-gather request to ten shards with three targets each.
func BenchmarkScatterGather(b *testing.B) {
	route := catalogue.Route{Name: "r", Host: "h.example", Prefix: "/x/", Attempts: 2, Idempotent: true, Top: 20,
		LeastShare: 0.89, Timeout: time.Second, Goal: 200 * time.Millisecond}
	targetCatalogue := catalogue.New()
	var services []catalogue.Service
	for shard := range 10 {
		name := fmt.Sprintf("shard-%d", shard)
		route.Shards = append(route.Shards, name)
		services = append(services, catalogue.Service{Name: name, MaxConnections: 40})
		for _, centre := range []string{"a", "b", "c"} {
			targetCatalogue.Register(catalogue.Target{ID: name + centre, Service: name, DataCentre: centre, Slots: 4,
				Address: listenRaw(b, answerAll)})
		}
	}
	targetCatalogue.Configure(catalogue.NewConfiguration(1, []catalogue.Route{route}, services, catalogue.Limits{}))
	fixture := &fixture{records: &records{}}
	fixture.serve(targetCatalogue)
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodGet, "/x/y", strings.NewReader(""))
		request.Host, request.RequestURI = "h.example", "/x/y"
		request.Header.Set("Request-Id", "one")
		request.Header.Set("Deadline-Ms", "900")
		recorder := httptest.NewRecorder()
		fixture.handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			b.Fatalf("status %d", recorder.Code)
		}
	}
}
