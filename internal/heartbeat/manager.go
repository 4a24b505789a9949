package heartbeat

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// maxDatagramBytes limits how many heartbeats share one datagram. Larger
	// datagrams are fragmented by IP and get lost more often.
	maxDatagramBytes = 1300
	readBufferBytes  = 64 << 10
	writeTimeout     = 50 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	Self *peerv1.Identity
	// IP and Port are the UDP address at which heartbeats are received. All
	// instances use the same port.
	IP   string
	Port int
	// FillHeartbeat fills in the state of the local instance; it is called for
	// each new heartbeat.
	FillHeartbeat func(hb *peerv1.FleetRow)
	Log           *event.Logger
}

// Manager sends and receives heartbeats.
type Manager struct {
	Config
	*Table
	conn         *net.UDPConn
	started      time.Time
	lastSequence uint64
	// loggedReachable is the last logged reachability, by peer address.
	loggedReachable map[string]bool
}

// NewManager opens the UDP socket for heartbeats.
func NewManager(cfg Config) (*Manager, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(cfg.IP), Port: cfg.Port})
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats of other instances")
	}
	return &Manager{
		Config: cfg, Table: NewTable(cfg.Self, time.Now), conn: conn, started: time.Now(), loggedReachable: map[string]bool{},
	}, nil
}

// Run sends and receives heartbeats until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = m.conn.Close() })()
	go m.receive(ctx)
	tick := time.NewTicker(localInterval)
	defer tick.Stop()
	for {
		m.sendDue()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// sendDue sends the heartbeats and introductions that are due.
func (m *Manager) sendDue() {
	dueMembers, dueSeeds := m.Due()
	if len(dueMembers)+len(dueSeeds) == 0 {
		return
	}
	full := m.newHeartbeat()
	reduced := reducedHeartbeat(full)
	for _, a := range dueMembers {
		hb := full
		if !m.SameRegion(a) {
			hb = reduced
		}
		m.send(a, &peerv1.FleetReport{Rows: []*peerv1.FleetRow{hb}})
	}
	for _, a := range dueSeeds {
		m.send(a, &peerv1.FleetReport{Rows: []*peerv1.FleetRow{full}, Introduce: true})
	}
	m.logChanges()
}

// reducedHeartbeat returns a copy of hb without the load of individual targets
// and without cached prompt parts, for other regions: only instances of the same
// region choose among its targets.
func reducedHeartbeat(hb *peerv1.FleetRow) *peerv1.FleetRow {
	return &peerv1.FleetRow{
		Instance: hb.GetInstance(), Sequence: hb.GetSequence(), CallersAddress: hb.GetCallersAddress(), Ready: hb.GetReady(),
		Leaving: hb.GetLeaving(), PublishedChange: hb.GetPublishedChange(), TargetsChange: hb.GetTargetsChange(),
		StoreAnswers: hb.GetStoreAnswers(), Teams: hb.GetTeams(), Pools: hb.GetPools(), StartedMs: hb.GetStartedMs(),
		CrashBlocks: hb.GetCrashBlocks(),
	}
}

// Announce immediately sends a heartbeat to all members, for updates that
// should not wait for the next interval.
func (m *Manager) Announce() {
	hb := m.newHeartbeat()
	for _, member := range m.Members() {
		m.send(member.Heartbeat.GetInstance().GetPeerAddress(), &peerv1.FleetReport{Rows: []*peerv1.FleetRow{hb}})
	}
}

// newHeartbeat returns a heartbeat of the local instance with the next sequence
// number.
func (m *Manager) newHeartbeat() *peerv1.FleetRow {
	m.mu.Lock()
	m.lastSequence++
	hb := &peerv1.FleetRow{Instance: m.Self, Sequence: m.lastSequence, StartedMs: m.started.UnixMilli()}
	m.mu.Unlock()
	m.FillHeartbeat(hb)
	return hb
}

// send writes a datagram. Write errors are ignored, as the next heartbeat
// supersedes a lost one.
func (m *Manager) send(peerAddress string, report *peerv1.FleetReport) {
	host, _, err := net.SplitHostPort(peerAddress)
	if err != nil {
		return // not expected: the addresses of heartbeats and seeds were checked before
	}
	b, err := proto.Marshal(report)
	if err != nil {
		m.Log.Emit(event.PeerMessageInvalid, zap.String("peer", peerAddress), zap.Error(err))
		return
	}
	_ = m.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = m.conn.WriteToUDP(b, &net.UDPAddr{IP: net.ParseIP(host), Port: m.Port})
}

func (m *Manager) receive(ctx context.Context) {
	buf := make([]byte, readBufferBytes)
	for ctx.Err() == nil {
		n, from, err := m.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // such as an ICMP port unreachable from an instance that is not listening yet
		}
		var report peerv1.FleetReport
		if err := proto.Unmarshal(buf[:n], &report); err != nil {
			m.Log.Emit(event.PeerMessageInvalid, zap.String("peer", from.String()), zap.Error(err))
			continue
		}
		m.handleReport(&report, from.IP.String())
	}
}

// handleReport merges received heartbeats and replies with the known members to
// an instance that is new or introduces itself. from is the sender's IP address.
func (m *Manager) handleReport(report *peerv1.FleetReport, from string) {
	for _, hb := range report.GetRows() {
		peer := hb.GetInstance().GetPeerAddress()
		host, _, err := net.SplitHostPort(peer)
		if err != nil {
			continue
		}
		direct := host == from
		newIncarnation := m.Merge(hb, direct)
		if direct && (newIncarnation || report.GetIntroduce()) {
			m.sendKnownMembers(peer)
		}
	}
}

// sendKnownMembers sends peer a heartbeat of the local instance and the last
// heartbeats of all reachable members.
func (m *Manager) sendKnownMembers(peer string) {
	heartbeats := append([]*peerv1.FleetRow{m.newHeartbeat()}, m.ReachableHeartbeats()...)
	for len(heartbeats) > 0 {
		n, size := 1, proto.Size(heartbeats[0])
		for n < len(heartbeats) && size+proto.Size(heartbeats[n]) < maxDatagramBytes {
			size += proto.Size(heartbeats[n])
			n++
		}
		m.send(peer, &peerv1.FleetReport{Rows: heartbeats[:n]})
		heartbeats = heartbeats[n:]
	}
}

// logChanges logs members that became reachable or unreachable.
func (m *Manager) logChanges() {
	for _, member := range m.Members() {
		a := member.Heartbeat.GetInstance().GetPeerAddress()
		if was, known := m.loggedReachable[a]; known && was == member.Reachable {
			continue
		}
		m.loggedReachable[a] = member.Reachable
		e := event.PeerLost
		if member.Reachable {
			e = event.PeerFound
		}
		m.Log.Emit(e, zap.String("peer", member.Name()), zap.String("address", a),
			zap.Duration("silent", time.Since(member.LastSeen)), zap.Int("members", len(m.loggedReachable)))
	}
}
