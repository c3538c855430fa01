package front

import "time"

// updateGauges sets the gauges to the current values.
func (front *Front) updateGauges() {
	open, dials := front.pool.Counts()
	front.scope.Gauge("target_connections").Update(float64(open))
	front.scope.Gauge("target_dials").Update(float64(dials))
	front.scope.Gauge("target_connections_refused").Update(float64(front.pool.Refused()))
	front.scope.Gauge("extra_responses").Update(float64(front.pool.ExtraResponses()))
	front.updateHeldGauges()
	front.scope.Gauge("store_calls").Update(float64(front.feed.StoreCalls()))
	front.scope.Gauge("store_dials").Update(float64(front.feed.StoreDials()))
	front.scope.Gauge("members").Update(float64(len(front.roster.Members())))
	front.scope.Gauge("evacuations").Update(float64(len(front.View().Evacuations())))
	front.scope.Gauge("running").Update(float64(front.handler.Running()))
	front.updateColdGauges(time.Now())
}

// updateHeldGauges sets the gauges of what is held for others.
func (front *Front) updateHeldGauges() {
	connections, refused := 0, uint64(0)
	for _, door := range front.doors {
		connections += door.Open()
		refused += door.Refused()
	}
	front.scope.Gauge("held_bytes").Update(float64(front.memory.Held()))
	front.scope.Gauge("held_connections").Update(float64(connections))
	front.scope.Gauge("connections_refused").Update(float64(refused))
	front.scope.Gauge("connections_ended").Update(float64(front.memory.Ended()))
}
