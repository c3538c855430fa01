package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/operator"
)

// fakeFront serves the status that changes by one second of traffic with each call.
type fakeFront struct {
	status func(second int64) operator.FrontStatus
	calls  atomic.Int64
}

func (front *fakeFront) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != operator.StatusPath {
		http.NotFound(writer, request)
		return
	}
	_ = json.NewEncoder(writer).Encode(front.status(front.calls.Add(1)))
}

// startFronts starts two fake instances whose member list also has a third one that does not answer. The second one does
// not know of the evacuation that is in force at the first. It returns the metrics address of the first.
func startFronts(t *testing.T, after func(func())) string {
	t.Helper()
	fronts := []*fakeFront{{}, {}}
	members := []operator.FrontMember{
		{Name: "bole-1", DataCentre: "bole-hall", State: member.Alive},
		{Name: "piassa-1", DataCentre: "piassa-hall", State: member.Alive},
		{Name: "gone-1", DataCentre: "bole-hall", State: member.Dead, Metrics: netip.MustParseAddrPort("127.0.0.1:1")},
	}
	servers := []*httptest.Server{httptest.NewUnstartedServer(fronts[0]), httptest.NewUnstartedServer(fronts[1])}
	for i, server := range servers {
		members[i].Metrics = netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	start := time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC)
	fronts[0].status = func(second int64) operator.FrontStatus {
		return operator.FrontStatus{Instance: "bole-1", DataCentre: "bole-hall", Time: start.Add(time.Duration(second) * time.Second), Version: 3,
			Members:     members,
			Evacuations: []operator.Evacuation{{DataCentre: "lideta-hall", Since: start, InFlight: 4}},
			ColdTargets: []operator.ColdTarget{{Target: "i-1", Service: "s", DataCentre: "piassa-hall", ColdUntil: start.Add(time.Minute),
				Rate: 10, Part: 2.5, Evidence: "answer", EvidenceAge: document.Duration(time.Second)}},
			Admission: []operator.Group{fakeGroup(second, 40, "overloaded", 300*time.Millisecond)}}
	}
	fronts[1].status = func(second int64) operator.FrontStatus {
		return operator.FrontStatus{Instance: "piassa-1", DataCentre: "piassa-hall", Time: start.Add(time.Duration(second) * time.Second), Version: 3,
			Members: members,
			ColdTargets: []operator.ColdTarget{{Target: "i-1", Service: "s", DataCentre: "piassa-hall", ColdUntil: start.Add(time.Second),
				Rate: 10, Part: 5, Evidence: "its data centre has returned to service"}},
			Admission: []operator.Group{fakeGroup(second, 0, "congested", time.Second)}}
	}
	for _, server := range servers {
		server.Start()
		after(server.Close)
	}
	return members[0].Metrics.String()
}

// fakeGroup returns a group that admits 60 requests of each rank per second, and refuses 90 of rank 1 if it has a limit.
func fakeGroup(second int64, limit int, evidence string, age time.Duration) operator.Group {
	count := uint64(second)
	group := operator.Group{Name: "r-search", Limit: limit, Evidence: evidence, EvidenceAge: document.Duration(age),
		Ranks: []operator.Rank{{Rank: 0, Admitted: 60 * count, InFlight: 6}, {Rank: 1, Admitted: 60 * count, InFlight: 3, Waiting: 2}}}
	if limit > 0 {
		group.Ranks[1].Refused = map[string]uint64{"rank": 80 * count, "rate": 10 * count}
	}
	return group
}
