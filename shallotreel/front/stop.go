package front

import (
	"context"
	"time"
)

const (
	relayedPollPeriod = 20 * time.Millisecond  // between two checks whether requests of other instances have ended
	closeMargin       = 500 * time.Millisecond // at the end of the grace period, reserved for closing the components
)

// Stop shuts the instance down gracefully within the grace period of the settings. It
// announces to the peers that this instance is leaving, keeps serving while callers may
// still use its address, unless a request would likely have no answer by the end, waits for running requests and closes. The reason is
// logged.
func (front *Front) Stop(reason string) {
	front.log.WithField("reason", reason).Info("stopping")
	begun := time.Now()
	front.stopping.Store(true)
	front.handler.DisableKeepAlives()
	front.roster.Leave()
	grace := front.settings.Load().Grace.Std()
	end := begun.Add(grace - closeMargin)
	front.handler.StopBy(end)
	serving := min(staleTTLFactor*addressTTL, grace/2)
	time.Sleep(serving)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := front.callerServer.Shutdown(ctx); err != nil {
		front.log.WithError(err).WithField("running", front.handler.Running()).Warn("requests were still running at the end of the grace period")
	}
	front.handler.StopRelaying()
	front.awaitRelayed(ctx)
	front.close()
	front.log.Info("stopped")
}

// awaitRelayed waits until no request of another instance is running, or until the context ends.
func (front *Front) awaitRelayed(ctx context.Context) {
	ticker := time.NewTicker(relayedPollPeriod)
	defer ticker.Stop()
	for front.handler.Running() > 0 {
		select {
		case <-ctx.Done():
			front.log.WithField("running", front.handler.Running()).Warn("requests of other instances were still running at the end of the grace period")
			return
		case <-ticker.C:
		}
	}
}

// close ends all components at once, without waiting for running requests.
func (front *Front) close() {
	front.cancel()
	for _, server := range front.servers {
		server.Close()
	}
	if front.peerServer != nil {
		front.peerServer.Close()
	}
	if front.roster != nil {
		front.roster.Close()
	}
	front.system.Shutdown()
	front.closer.Close()
}
