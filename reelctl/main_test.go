package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"shallotreel.example/reel/member"
	"shallotreel.example/reel/operator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"reelctl": main})
}

// TestScripts runs the scripts in testdata and compares the output of each command with golden output.
func TestScripts(t *testing.T) {
	deployments, err := filepath.Abs(filepath.Join("..", "deployments"))
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			env.Setenv("DEPLOYMENTS", deployments)
			env.Setenv("INSTANCE", startFleet(t, env.Defer))
			env.Setenv("METRICS", startFronts(t, env.Defer))
			return nil
		},
	})
}

// startFleet starts two fake instances whose member list also contains a third one that does not answer. It returns
// the address of the first.
func startFleet(t *testing.T, after func(func())) string {
	t.Helper()
	first, second := httptest.NewUnstartedServer(nil), httptest.NewUnstartedServer(nil)
	address := func(server *httptest.Server) netip.AddrPort {
		return netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	members := []member.Member{
		{Name: "bole-1", DataCentre: "bole-hall", Caller: address(first), State: member.Alive},
		{Name: "piassa-1", DataCentre: "piassa-hall", Caller: address(second), State: member.Alive},
		{Name: "gone-1", DataCentre: "bole-hall", Caller: netip.MustParseAddrPort("127.0.0.1:1"), State: member.Dead},
	}
	for i, server := range []*httptest.Server{first, second} {
		server.Config.Handler = fakeInstance(members[i], members)
		server.Start()
		after(server.Close)
	}
	return address(first).String()
}

func fakeInstance(self member.Member, members []member.Member) http.Handler {
	mux := http.NewServeMux()
	reply := func(writer http.ResponseWriter, value any) { _ = json.NewEncoder(writer).Encode(value) }
	mux.HandleFunc("GET "+operator.StatusPath, func(writer http.ResponseWriter, _ *http.Request) {
		reply(writer, operator.Status{Instance: self.Name, DataCentre: self.DataCentre, Standing: "good", Revision: 3,
			Digest: "d", Preset: "ordinary", Members: members, Sources: []operator.Source{{Name: "s", Snapshot: 41, Waiting: 2}}})
	})
	mux.HandleFunc("GET "+operator.ExplainPath, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Get("kind") != "chef-planner" {
			http.Error(writer, "field kind: name a kind of the configuration", http.StatusBadRequest)
			return
		}
		reply(writer, operator.Explanation{Kind: "chef-planner", Revision: 3, Preset: "ordinary", Snapshot: 41, Verdict: "clear",
			Fingerprint: "0fc4bb7eb1d05516", Routes: []operator.Route{{Shard: "s/1", Target: "s/1/2", Holder: "bole-1", Reason: "lowest score"}}})
	})
	mux.HandleFunc("POST "+operator.DrainPath, func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		args string
		want int
	}{
		{"--help", exitOK},
		{"", exitUsage},
		{"check", exitUsage},
		{"status --instance nowhere", exitFailure},
		{"status --instance 127.0.0.1:1", exitFailure},
		{"check /no/such/file", exitFailure},
		{"evacuations", exitUsage},
		{"load --instance 127.0.0.1:1", exitFailure},
		{"load --instance 127.0.0.1:1 --interval soon", exitUsage},
	}
	for _, test := range tests {
		if got := run(strings.Fields(test.args)); got != test.want {
			t.Errorf("reelctl %s exits with %d, want %d", test.args, got, test.want)
		}
	}
}
