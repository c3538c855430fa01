package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/fleet"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/publication"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
	"shallotreel.example/shallotreel/decision"
	"shallotreel.example/shallotreel/peers"
)

const (
	tickInterval = 100 * time.Millisecond
	pullTimeout  = time.Second // for one pull from a peer
	actorTimeout = time.Second // for the actor's reply to a peer's pull
)

// View is an immutable snapshot of the state of the fleet as far as it is known to this instance.
type View struct {
	Self           member.Member
	Members        []member.Member
	Holders        *route.Holders
	Document       *document.Document
	NewestRevision revision.Stamp // newest valid revision, in force or not yet
	standing       contact.Standing
	leaseExpiry    time.Time          // when the instance becomes isolated unless it renews its lease
	admitsUntil    time.Time          // from when no request may be admitted under Document; zero if unknown
	nextDocument   *document.Document // revision that takes effect at nextInForceAt, or nil
	nextInForceAt  time.Time
	Maps           map[string]*target.PartitionMap
	Leaving        []string // targets that are leaving
	Voters         []string // names of the instances whose votes count
}

// Listener receives new views. New calls Apply with the first view; the actor calls it after a change of the holders,
// the document, the partition maps or the number of leaving targets.
type Listener interface{ Apply(view *View) }

// Control runs the fleet's state machine in one actor. Its methods are safe for concurrent use.
type Control struct {
	ctx            context.Context
	root           *actor.RootContext
	pid            *actor.PID
	machine        *fleet.Machine
	datagrams      *peers.Datagrams
	network        *peers.Network
	platform       *platform.Client
	log            *decision.Log
	listeners      []Listener
	onReplaced     func()
	view           atomic.Pointer[View]
	lastTickAt     atomic.Int64 // Unix time in nanoseconds
	platformCalls  atomic.Int64
	maps           map[string]*target.PartitionMap
	holders        *route.Holders
	servingMembers string // names and addresses of the serving members, to detect changes of the holders
	members        []member.Member
	membersVersion uint64
	timer          *time.Timer // for the next change of document; nil if none is scheduled
	ready          func() bool
}

// Messages of the actor.
type (
	tick             struct{}
	activationDue    struct{}
	packet           struct{ fleet.Packet }
	broadcastMark    struct{ mark quarantine.Mark }
	broadcastLeaving struct{ target string }
	leave            struct{}
	answerPull       struct{ request fleet.PullRequest }
	pullDone         struct {
		from  netip.AddrPort
		reply *fleet.PullReply
	}
	platformRead struct {
		key   string
		value platform.Value
	}
)

// Config holds the parameters of a Control.
type Config struct {
	Machine    *fleet.Machine
	Datagrams  *peers.Datagrams
	Network    *peers.Network
	Platform   *platform.Client
	Log        *decision.Log
	Listeners  []Listener
	OnReplaced func()      // called when another process runs under this instance's name
	Ready      func() bool // reports whether the roles of this instance can serve requests
}

// New returns a Control; Start starts it.
func New(ctx context.Context, system *actor.ActorSystem, config Config) *Control {
	control := &Control{
		ctx: ctx, root: system.Root, machine: config.Machine, datagrams: config.Datagrams,
		network: config.Network, platform: config.Platform, log: config.Log,
		listeners: config.Listeners, onReplaced: config.OnReplaced, ready: config.Ready,
		maps: map[string]*target.PartitionMap{}, holders: &route.Holders{},
	}
	control.publish(time.Now())
	return control
}

// Start starts the actor, its clock, the receipt of packets and the watches of the platform. They end with the context.
func (control *Control) Start() {
	control.pid = control.root.Spawn(actor.PropsFromFunc(control.receive))
	go control.tickLoop()
	go control.datagrams.Receive(func(received fleet.Packet) { control.send(packet{received}) })
	control.watchPlatform()
}

// View returns the current view.
func (control *Control) View() *View {
	return control.view.Load()
}

// Standing returns whether this instance may accept requests at now. It returns contact.Paused if the actor's clock has
// not ticked for longer than contact.PauseThreshold, because the process must have been suspended.
func (control *Control) Standing(now time.Time) contact.Standing {
	if now.UnixNano()-control.lastTickAt.Load() > int64(contact.PauseThreshold) {
		return contact.Paused
	}
	return control.View().StandingAt(now)
}

// StandingAt returns the standing at now that follows from the view alone.
func (view *View) StandingAt(now time.Time) contact.Standing {
	switch {
	case view.standing != contact.Good && view.standing != contact.Undecided:
		return view.standing
	case now.After(view.leaseExpiry):
		return contact.Isolated
	case view.nextInForce(now) || view.admitsUntil.IsZero() || now.Before(view.admitsUntil):
		return contact.Good
	default:
		return contact.Undecided
	}
}

// DocumentAt returns the revision under which requests are admitted at now, or nil before the first.
func (view *View) DocumentAt(now time.Time) *document.Document {
	if view.nextInForce(now) {
		return view.nextDocument
	}
	return view.Document
}

// nextInForce reports whether the next revision is in force at now.
func (view *View) nextInForce(now time.Time) bool {
	return view.nextDocument != nil && !now.Before(view.nextInForceAt)
}

// BroadcastMark sends a quarantine mark to the other instances.
func (control *Control) BroadcastMark(mark quarantine.Mark) { control.send(broadcastMark{mark}) }

// BroadcastLeaving notifies the other instances that the named target is leaving.
func (control *Control) BroadcastLeaving(name string) { control.send(broadcastLeaving{name}) }

// Leave announces to the other instances that this instance is leaving.
func (control *Control) Leave() { control.send(leave{}) }

// Pull returns the updates that the requesting peer lacks. The reply is empty if the actor does not respond in time.
func (control *Control) Pull(request fleet.PullRequest) fleet.PullReply {
	reply, err := control.root.RequestFuture(control.pid, answerPull{request}, actorTimeout).Result()
	if err != nil {
		return fleet.PullReply{}
	}
	return reply.(fleet.PullReply)
}

// PlatformCalls returns the number of calls that this instance has made to the platform.
func (control *Control) PlatformCalls() int64 {
	return control.platformCalls.Load()
}

// send sends a message to the actor.
func (control *Control) send(message any) {
	control.root.Send(control.pid, message)
}

// tickLoop sends a tick to the actor every tickInterval until the context ends.
func (control *Control) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-control.ctx.Done():
			return
		case <-ticker.C:
			control.send(tick{})
		}
	}
}

// receive handles one message of the actor.
func (control *Control) receive(actorContext actor.Context) {
	now := time.Now()
	switch message := actorContext.Message().(type) {
	case tick:
		if control.ready() {
			control.machine.SetReady()
		}
		control.perform(now, control.machine.Tick(now))
		control.publish(now)
		control.lastTickAt.Store(now.UnixNano())
	case activationDue:
		control.timer = nil
		control.perform(now, control.machine.Tick(now))
	case packet:
		control.perform(now, control.machine.Receive(now, message.Packet))
	case pullDone:
		control.perform(now, control.machine.HandlePullReply(now, message.from, message.reply))
	case platformRead:
		control.perform(now, control.machine.HandlePlatformValue(now, message.key, message.value.Version, message.value.Data))
	case broadcastMark:
		control.perform(now, control.machine.BroadcastMark(now, message.mark))
	case broadcastLeaving:
		control.perform(now, control.machine.BroadcastLeaving(now, message.target))
		control.publish(now)
	case leave:
		control.perform(now, control.machine.Leave(now))
		control.publish(now)
	case answerPull:
		reply, output := control.machine.HandlePull(now, message.request)
		control.perform(now, output)
		actorContext.Respond(reply)
	}
}

// perform carries out the output of the state machine.
func (control *Control) perform(now time.Time, output fleet.Output) {
	for _, send := range output.Sends {
		if err := control.datagrams.Send(send.To, send.Packet); err != nil {
			control.log.Warnf("cannot send to %v: %v", send.To, err)
		}
	}
	for _, pull := range output.Pulls {
		go control.pull(pull.From, control.machine.PullRequest())
	}
	for _, change := range output.Changes {
		control.log.Infof("instance %s is %v: %s", change.Member.Name, change.Member.State, change.Reason)
	}
	for _, message := range output.LogMessages {
		control.log.Infof("%s", message)
	}
	for _, value := range output.Values {
		control.applyMap(value)
	}
	if output.Replaced {
		control.log.Warnf("another process with this instance name is running, stopping")
		go control.onReplaced()
	}
	if len(output.Changes) > 0 || len(output.Values) > 0 || output.InForce != nil {
		control.publish(now)
	}
}

// applyMap stores the partition map of a source. It ignores values of other kinds and maps that it cannot decode.
func (control *Control) applyMap(value publication.Value) {
	source, ok := strings.CutPrefix(value.Key, platform.TargetsKey)
	if !ok {
		return
	}
	partition := &target.PartitionMap{}
	if err := json.Unmarshal(value.Data, partition); err != nil {
		control.log.Warnf("cannot decode the partition map of %s: %v", source, err)
		return
	}
	maps := make(map[string]*target.PartitionMap, len(control.maps)+1)
	for name, existing := range control.maps {
		maps[name] = existing
	}
	maps[source] = partition
	control.maps = maps
}

// pull sends a pull request to a peer and passes its reply, or nil after an error, to the actor.
func (control *Control) pull(from netip.AddrPort, request fleet.PullRequest) {
	ctx, cancel := context.WithTimeout(control.ctx, pullTimeout)
	defer cancel()
	reply, err := control.network.Pull(ctx, from, request)
	if err != nil {
		control.send(pullDone{from, nil})
		return
	}
	control.send(pullDone{from, &reply})
}

// publish replaces the view, and passes it to the listeners unless it is the same to them.
func (control *Control) publish(now time.Time) {
	if version := control.machine.MembersVersion(); control.members == nil || version != control.membersVersion {
		control.membersVersion = version
		control.members = control.machine.Members()
		control.updateHolders(control.members)
	}
	view := &View{
		Self: control.machine.Self(), Members: control.members, Holders: control.holders,
		Document: control.machine.InForce(), NewestRevision: control.machine.NewestStamp(),
		standing: control.machine.Standing(now), leaseExpiry: control.machine.LeaseExpiry(),
		Maps: control.maps, Leaving: control.machine.LeavingTargets(now), Voters: control.machine.Voters(),
	}
	view.nextDocument, view.nextInForceAt = control.machine.NextRevision()
	view.admitsUntil, _ = control.machine.AdmitUntil()
	old := control.view.Swap(view)
	control.scheduleActivation(now, view)
	if old != nil && old.standing != view.standing {
		control.log.Infof("standing changed from %v to %v", old.standing, view.standing)
	}
	if old != nil && old.same(view) {
		return
	}
	for _, listener := range control.listeners {
		listener.Apply(view)
	}
}

// scheduleActivation makes the actor advance its state machine at the time when the next revision takes effect.
func (control *Control) scheduleActivation(now time.Time, view *View) {
	if view.nextDocument == nil || control.timer != nil || control.pid == nil {
		return
	}
	control.timer = time.AfterFunc(view.nextInForceAt.Sub(now), func() { control.send(activationDue{}) })
}

// same reports whether the views are equal in all that listeners react to: the holders, the document, the partition
// maps and the number of leaving targets.
func (view *View) same(other *View) bool {
	return view.Holders == other.Holders && view.Document == other.Document &&
		len(view.Leaving) == len(other.Leaving) && sameMaps(view.Maps, other.Maps)
}

func sameMaps(a, b map[string]*target.PartitionMap) bool {
	if len(a) != len(b) {
		return false
	}
	for source, partition := range a {
		if b[source] != partition {
			return false
		}
	}
	return true
}

// updateHolders replaces the holders if the serving members have changed.
func (control *Control) updateHolders(members []member.Member) {
	var serving strings.Builder
	for _, member := range members {
		if member.State.Serves() {
			serving.WriteString(member.Name)
			serving.WriteString(member.Peer.String())
			serving.WriteByte('\n')
		}
	}
	if serving.String() == control.servingMembers {
		return
	}
	control.servingMembers = serving.String()
	control.holders = route.NewHolders(control.holders.Version+1, members)
}
