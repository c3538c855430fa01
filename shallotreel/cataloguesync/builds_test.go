package cataloguesync

import (
	"bytes"
	"encoding/gob"
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/cursor"
)

// goldenFile is a reply as the build of commit e7fc28a encodes it, which does not know evacuations.
const goldenFile = "testdata/reply_e7fc28a.gob"

var update = flag.Bool("update", false, "write the golden file anew")

// Copies of the types of commit e7fc28a.
type (
	oldReply struct {
		Process uint64
		Whole   bool
		Delta   oldDelta
		Age     time.Duration
		Era     uint64
		Store   uint64
	}
	oldDelta struct {
		Serial   uint64
		Targets  []oldTarget
		Removed  []string
		Version  uint64
		Routes   []oldRoute
		Services []oldService
		Limits   oldLimits
	}
	oldTarget struct {
		ID         string
		Service    string
		Address    netip.AddrPort
		DataCentre string
		Slots      int
		Leaving    bool
		Born       int64
		Seq        uint64
	}
	oldRoute struct {
		Name       string
		Host       string
		Prefix     string
		Idempotent bool
		Timeout    time.Duration
		Goal       time.Duration
		Attempts   int
		Priority   int
		Service    string
		Weighted   []oldWeight
		Shards     []string
		Top        int
		LeastShare float64
	}
	oldWeight struct {
		Service string
		Weight  float64
	}
	oldService struct {
		Name           string
		MaxConnections int
	}
	oldLimits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}
)

func oldExample() oldReply {
	return oldReply{Process: 7, Whole: true, Age: time.Second, Era: 2, Store: 12, Delta: oldDelta{Serial: 4, Version: 3, Removed: []string{"gone"},
		Targets: []oldTarget{{ID: "one", Service: "desk", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "a",
			Slots: 3, Leaving: true, Born: 5, Seq: 6}},
		Routes:   []oldRoute{{Name: "r", Host: "h", Prefix: "/", Idempotent: true, Goal: time.Second, Weighted: []oldWeight{{"desk", 1}}}},
		Services: []oldService{{"desk", 9}}, Limits: oldLimits{BodyBytes: 100}}}
}

// TestReplyOfOlderBuild guards against replies of the build in production that this build cannot read, or of which it believes that
// they would tell evacuations or pending removals.
func TestReplyOfOlderBuild(t *testing.T) {
	if *update {
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(oldExample()); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenFile, buffer.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var reply Reply
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	if reply.Delta.SupportsEvacuations || reply.Delta.Evacuations != nil {
		t.Error("the older build seems to know evacuations")
	}
	if reply.Delta.SupportsPending {
		t.Error("the older build seems to tell pending removals")
	}
	target := reply.Delta.Targets[0]
	if target.ID != "one" || target.Address.Port() != 80 || target.Seq != 6 || reply.Position() != (cursor.Position{Era: 2, Revision: 12}) ||
		reply.Delta.Routes[0].Weighted[0].Service != "desk" || reply.Delta.Services[0].MaxConnections != 9 {
		t.Errorf("got %+v", reply)
	}
}

// TestReplyToOlderBuild guards against replies that the build in production cannot read.
func TestReplyToOlderBuild(t *testing.T) {
	current := catalogue.New()
	now := time.Now()
	current.Register(catalogue.Target{ID: "one", Service: "desk", Address: netip.MustParseAddrPort("10.0.0.1:80"), Seq: 6})
	current.Register(catalogue.Target{ID: "gone", Position: cursor.Position{Era: 2, Revision: 8}})
	current.Remove(now, catalogue.Removal{ID: "gone", Position: cursor.Position{Era: 2, Revision: 9}})
	current.Configure(catalogue.NewConfiguration(3, []catalogue.Route{{Name: "r"}}, []catalogue.Service{{Name: "desk", MaxConnections: 9}}, catalogue.Limits{}))
	current.Evacuate(now, "a", cursor.Position{Era: 2, Revision: 11})
	current.StoreFailed()
	current.StoreAnswered(now, 0)
	current.Remove(now, catalogue.Removal{ID: "one"})
	var buffer bytes.Buffer
	reply := Reply{Process: 7, Whole: true, Era: 2, Store: 12, Delta: current.Since(now, 0)}
	if err := gob.NewEncoder(&buffer).Encode(reply); err != nil {
		t.Fatal(err)
	}
	data := buffer.Bytes()
	var old oldReply
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&old); err != nil {
		t.Fatal(err)
	}
	if old.Delta.Targets[0].Seq != 6 || old.Delta.Version != 3 || old.Delta.Services[0].MaxConnections != 9 || old.Store != 12 {
		t.Errorf("got %+v", old)
	}
	var same Reply
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&same); err != nil {
		t.Fatal(err)
	}
	if removals := same.Delta.Removals; len(removals) != 1 || removals[0] != (catalogue.Removal{ID: "gone", Position: cursor.Position{Era: 2, Revision: 9}}) {
		t.Errorf("got removals %+v", removals)
	}
	if pending := same.Delta.Pending; !same.Delta.SupportsPending || len(pending) != 1 || pending[0].ID != "one" || pending[0].Left <= 0 {
		t.Errorf("got pending removals %+v", pending)
	}
	if states := same.Delta.Evacuations.States; !same.Delta.SupportsEvacuations || len(states) != 1 || states[0].DataCentre != "a" || !states[0].Active {
		t.Errorf("got %+v", same.Delta)
	}
}
