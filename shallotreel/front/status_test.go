package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/operator"
	"shallotreel.example/shallotreel/ingress"
	"shallotreel.example/shallotreel/settings"
)

// fixedSource is a statusSource whose parts never change.
type fixedSource struct {
	evacuations []operator.Evacuation
	coldTargets []operator.ColdTarget
	admission   []operator.Group
	members     []member.Member
}

func (fixedSource fixedSource) Version() uint64                    { return 7 }
func (fixedSource fixedSource) Evacuations() []operator.Evacuation { return fixedSource.evacuations }
func (fixedSource fixedSource) ColdTargets(time.Time) []operator.ColdTarget {
	return fixedSource.coldTargets
}
func (fixedSource fixedSource) Admission() []operator.Group { return fixedSource.admission }
func (fixedSource fixedSource) Members() []member.Member    { return fixedSource.members }

// TestStatus guards against a change of the names and formats that operators' tools rely on, and against null in place of
// an empty list.
func TestStatus(t *testing.T) {
	now := time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC)
	instance := func(name, centre, address string, state member.State) member.Member {
		return member.Member{Name: name, DataCentre: centre, Caller: netip.MustParseAddrPort(address), State: state}
	}
	self := instance("one", "a", "10.0.0.1:80", member.Alive)
	members := []member.Member{self, instance("two", "b", "10.0.0.2:80", member.Suspect)}
	for _, test := range []struct {
		golden string
		query  string
		source fixedSource
	}{
		{"status-at-rest.json", "", fixedSource{members: members[:1]}},
		{"status-omitted.json", "?omit=cold_targets,admission,members", fixedSource{members: members,
			coldTargets: []operator.ColdTarget{{Target: "i-1"}}, admission: []operator.Group{{Name: "r"}}}},
		{"status.json", "", fixedSource{
			members:     members,
			evacuations: []operator.Evacuation{{DataCentre: "b", Since: now.Add(-time.Minute), InFlight: 3}},
			coldTargets: []operator.ColdTarget{
				{Target: "i-1", Service: "s", DataCentre: "a", ColdUntil: now.Add(time.Minute), Rate: 20, Part: 2.5, Evidence: "answer", EvidenceAge: document.Duration(time.Second)},
				{Target: "i-2", Service: "s", DataCentre: "a", Evidence: "its data centre has returned to service"},
			},
			admission: []operator.Group{{Name: "r", Limit: 40, Evidence: "overloaded", EvidenceAge: document.Duration(300 * time.Millisecond),
				Ranks: []operator.Rank{{Rank: 1, Admitted: 120, Refused: map[string]uint64{"rank": 90}, InFlight: 6, Waiting: 2}}}},
		}},
	} {
		t.Run(test.golden, func(t *testing.T) {
			response := httptest.NewRecorder()
			handler := &statusHandler{self: self, metrics: netip.MustParseAddrPort("10.0.0.1:9464"), source: test.source,
				now: func() time.Time { return now }, log: logrus.New()}
			handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, operator.StatusPath+test.query, nil))
			compareGolden(t, test.golden, response.Body.Bytes())
		})
	}
}

// TestEvidenceOfGroup guards against a status that gives evidence without congestion as the reason for a limit.
func TestEvidenceOfGroup(t *testing.T) {
	for evidence, want := range map[string]string{"": "", "uncongested": "", "neutral": "", "congested": "congested", "overloaded": "overloaded"} {
		group := groupOf(ingress.GroupLoad{Service: "menus", Services: 1, Evidence: evidence, EvidenceAge: time.Second})
		if group.Evidence != want || group.Name != "menus" {
			t.Errorf("evidence %q of the handler is stated as %q for %s, want %q", evidence, group.Evidence, group.Name, want)
		}
	}
}

// compareGolden compares the JSON with the file in testdata, which it writes first if UPDATE_GOLDEN is set.
func compareGolden(t *testing.T, name string, content []byte) {
	t.Helper()
	var indented bytes.Buffer
	if err := json.Indent(&indented, content, "", "  "); err != nil {
		t.Fatal(err)
	}
	path := "testdata/" + name
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, indented.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(indented.Bytes(), want) {
		t.Errorf("got %s, want %s", indented.Bytes(), want)
	}
}

// TestStatusBesideMetrics guards against a status that hides the metrics, or that a running instance does not serve with what it has
// read from the store.
func TestStatusBesideMetrics(t *testing.T) {
	store := storetest.Start(t)
	store.Configure(t, 1)
	store.Register(t, storetest.Target{ID: "one", DataCentre: "b", Seq: 1})
	store.Evacuate("b", nil)
	front, config := startOnFreePorts(t, settings.Front{Name: "front", DataCentre: "a", StoreAddress: store.Address(),
		Grace: document.Duration(waitTimeout), MaxAddressTTL: document.Duration(time.Second), LogLevel: "info"}, io.Discard)
	defer front.close()
	waitUntil(t, "the gauges are served", func() bool { return gauge(config.MetricsAddress, "shallotreel_members") == 1 })
	response, err := http.Get(fmt.Sprintf("http://%s%s", config.MetricsAddress, operator.StatusPath))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var status operator.FrontStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		t.Fatal(err)
	}
	if len(status.Evacuations) != 1 || status.Evacuations[0].DataCentre != "b" || status.Evacuations[0].Since.IsZero() {
		t.Errorf("evacuations are %+v, want one of data centre b", status.Evacuations)
	}
	want := operator.FrontMember{Name: "front", DataCentre: "a", State: member.Alive, Metrics: config.MetricsAddress}
	if status.Instance != "front" || status.Version != 1 || len(status.Members) != 1 || status.Members[0] != want {
		t.Errorf("status is %+v, want version 1 and only member %+v", status, want)
	}
}
