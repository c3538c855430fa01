package front

import (
	"net/http"
	"net/netip"

	"shallotreel.example/platform"
	"shallotreel.example/reel/member"
)

// nearFew is how many addresses of the caller's data centre are enough to name no others.
const nearFew = 2

// answerReady tells the platform whether this instance takes work.
func (front *Front) answerReady(writer http.ResponseWriter, request *http.Request) {
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

// answerResolve tells a caller where to connect.
func (front *Front) answerResolve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != platform.ResolvePath {
		http.NotFound(writer, request)
		return
	}
	addresses := addressesFor(front.roster.Members(), platform.ResolvePlace(request))
	if len(addresses) == 0 {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.Resolution{Addresses: addresses, Keep: min(addressKeep, front.settings.Load().KeepMost.Std())}.Encode()
	if err != nil {
		front.log.WithError(err).Error("cannot answer where to connect")
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body) // a caller that is gone asks again
}

// addressesFor returns the instances of the caller's data centre that take work, or all if those are too few.
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
	if len(near) >= nearFew {
		all = near
	}
	return all[:min(len(all), addressMost)]
}
