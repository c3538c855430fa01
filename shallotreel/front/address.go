package front

import (
	"net/http"
	"net/netip"

	"shallotreel.example/platform"
	"shallotreel.example/reel/member"
)

// minLocalAddresses is the number of addresses in the caller's data centre from which
// addresses in other data centres are left out.
const minLocalAddresses = 2

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

// addressesFor returns the addresses of the instances in the caller's data centre that
// accept requests, or of those in all data centres if there are fewer than
// minLocalAddresses.
func addressesFor(members []member.Member, dataCentre string) []netip.AddrPort {
	var near, all []netip.AddrPort
	for _, member := range members {
		if !member.State.Serves() {
			continue
		}
		all = append(all, member.Caller)
		if member.DataCentre == dataCentre {
			near = append(near, member.Caller)
		}
	}
	if len(near) >= minLocalAddresses {
		all = near
	}
	return all[:min(len(all), maxAddresses)]
}
