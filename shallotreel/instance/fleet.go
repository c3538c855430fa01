package instance

import (
	"time"

	"shallotreel.example/reel/contact"
	"shallotreel.example/shallotreel/control"
)

// View returns the current view of the fleet. Before the control component runs, the view is empty.
func (instance *Instance) View() *control.View {
	if instance.control == nil {
		return &control.View{}
	}
	return instance.control.View()
}

// Standing returns whether this instance may accept new work now, or why not. Before the control component runs, it is
// contact.Waiting.
func (instance *Instance) Standing(now time.Time) contact.Standing {
	if instance.control == nil {
		return contact.Waiting
	}
	return instance.control.Standing(now)
}
