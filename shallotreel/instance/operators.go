package instance

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/operator"
)

// registerOperatorHandlers registers the handlers of the operators' interface.
func (instance *Instance) registerOperatorHandlers(mux *http.ServeMux) {
	mux.Handle("GET "+operator.MetricsPath, instance.reporter.HTTPHandler())
	mux.HandleFunc("GET "+caller.LivePath, func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET "+operator.ReadyPath, instance.serveReady)
	mux.HandleFunc("GET "+operator.StatusPath, instance.serveStatus)
	mux.HandleFunc("GET "+operator.ExplainPath, instance.serveExplain)
	mux.HandleFunc("POST "+operator.DrainPath, func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusAccepted)
		instance.requestStop("drained by an operator")
	})
	if instance.settings.AllowProfile {
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	}
	if instance.settings.AllowCut {
		mux.HandleFunc("POST "+operator.CutPath, instance.servePartition)
	}
}

func (instance *Instance) serveReady(writer http.ResponseWriter, _ *http.Request) {
	standing := instance.Standing(time.Now())
	if standing != contact.Good {
		http.Error(writer, standing.String(), http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (instance *Instance) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	view := instance.View()
	status := operator.Status{
		Instance: instance.self.Name, DataCentre: instance.self.DataCentre,
		Incarnation: instance.self.Incarnation, Standing: instance.Standing(now).String(),
		NewestRevision: view.NewestRevision, Members: view.Members, Voters: view.Voters,
		Targets: instance.holding.Statuses(nil), Quarantine: instance.crashHistory.Marks(now),
		Leaving: view.Leaving, Running: instance.entry.Running(), Sources: instance.entry.Sources(now),
		PlatformCalls: instance.control.PlatformCalls(), DecisionsDropped: map[string]uint64{},
	}
	status.ControlSent, status.ControlReceived = instance.datagrams.Bytes()
	if view.Document != nil {
		status.Revision, status.Preset = view.Document.Revision, view.Document.PresetInForce
		status.Digest = view.Document.Digest()
	}
	for name, log := range instance.logs {
		status.DecisionsDropped[name] = log.Dropped()
	}
	writeJSON(writer, status)
}

func (instance *Instance) serveExplain(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	explanation, err := instance.entry.Explain(query.Get("kind"), query.Get("key"), query.Get("query"))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(writer, explanation)
}

// servePartition simulates a network partition from the peers in the request, which replace those of the last call.
func (instance *Instance) servePartition(writer http.ResponseWriter, request *http.Request) {
	var addresses []netip.AddrPort
	if err := json.NewDecoder(request.Body).Decode(&addresses); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	instance.partition.SetPeers(addresses)
	writer.WriteHeader(http.StatusNoContent)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// The write fails only if the operator's tool has disconnected.
	_ = json.NewEncoder(writer).Encode(value)
}
