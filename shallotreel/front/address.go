package front

import (
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/workingset"
)

const (
	// minLocalAddresses is the number of addresses in the caller's data centre from which
	// addresses in other data centres are left out.
	minLocalAddresses = 2
	maxAddresses      = 64 // in one answer to an address query
)

// serveReady answers the platform's readiness checks.
func (front *Front) serveReady(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != platform.ReadyPath {
		http.NotFound(writer, request)
		return
	}
	if front.stopping.Load() || !front.ready.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// serveResolve answers a caller's query for the addresses to connect to.
func (front *Front) serveResolve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != platform.ResolvePath {
		http.NotFound(writer, request)
		return
	}
	addresses := addressesFor(front.roster.Members(), platform.ResolveDataCentre(request))
	if len(addresses) == 0 {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.Resolution{Addresses: addresses, TTL: min(addressTTL, front.settings.Load().MaxAddressTTL.Std())}.Encode()
	if err != nil {
		front.log.WithError(err).Error("cannot encode the addresses for a caller")
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body) // a caller that closed the connection repeats its query
}

// addressesFor returns the addresses of the working set of the caller's data centre, or of all data centres if it has
// fewer than minLocalAddresses.
func addressesFor(members []member.Member, dataCentre string) []netip.AddrPort {
	addresses := callerAddresses(workingset.Of(members, dataCentre))
	if len(addresses) < minLocalAddresses {
		addresses = nil
		for _, centre := range dataCentres(members) {
			addresses = append(addresses, callerAddresses(workingset.Of(members, centre))...)
		}
	}
	return addresses[:min(len(addresses), maxAddresses)]
}

func callerAddresses(members []member.Member) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, member := range members {
		addresses = append(addresses, member.Caller)
	}
	return addresses
}

// dataCentres returns the names of the data centres of the members, in order.
func dataCentres(members []member.Member) []string {
	var names []string
	for _, member := range members {
		names = append(names, member.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// announceLoad announces how much of its processor this instance uses, by which all instances decide which of them callers
// are sent to.
func (front *Front) announceLoad(now time.Time, meter *workingset.Meter) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		front.log.WithError(err).Error("cannot measure the use of the processor")
		return
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	load, changed := meter.Observe(now, used, front.handler.Requests())
	if !changed {
		return
	}
	front.roster.SetLoad(load)
	front.log.WithFields(logrus.Fields{"load": load, "millicores": int(load.Use()), "running": front.handler.Running()}).Info("load changed")
}
