package instance

import (
	"time"

	"shallotreel.example/reel/contact"
	"shallotreel.example/shallotreel/control"
)

// View returns the newest view of the fleet.
func (instance *Instance) View() *control.View {
	if instance.control == nil {
		return &control.View{}
	}
	return instance.control.View()
}

// Standing judges whether new work may be taken now.
func (instance *Instance) Standing(now time.Time) contact.Standing {
	if instance.control == nil {
		return contact.Waiting
	}
	return instance.control.Standing(now)
}
