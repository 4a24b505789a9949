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
	// logInterval is the interval at which changes of reachability are logged.
	logInterval = 500 * time.Millisecond
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

// Manager sends and receives heartbeats. Lock order: Table.mu and that of pause are
// leaf locks.
type Manager struct {
	Config
	*Table
	conn    *net.UDPConn
	started time.Time
	// write sends a datagram to an IP address.
	write        func(ip string, datagram []byte)
	lastSequence uint64
	lastLoad     *peerv1.InstanceLoad // in the last heartbeat of sendDue
	// loggedReachable is the last logged reachability, by peer address.
	loggedReachable map[string]bool
	lastLogged      time.Time
	pause           pauseDetector
}

// NewManager opens the UDP socket for heartbeats.
func NewManager(cfg Config) (*Manager, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(cfg.IP), Port: cfg.Port})
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats of other instances")
	}
	m := newManager(cfg, time.Now)
	m.conn, m.write = conn, m.writeUDP
	return m, nil
}

func newManager(cfg Config, now func() time.Time) *Manager {
	return &Manager{Config: cfg, Table: NewTable(cfg.Self, now), started: now(), loggedReachable: map[string]bool{}}
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
	m.pause.tick(m.now())
	dueMembers, dueSeeds := m.Due()
	if len(dueMembers)+len(dueSeeds) == 0 {
		return
	}
	full := m.newHeartbeat()
	m.noteLoad(full)
	datagrams := map[destination][]byte{} // by destination without address
	for _, d := range dueMembers {
		kind := d
		kind.address = ""
		datagram, ok := datagrams[kind]
		if !ok {
			datagram = m.encodeFor(full, d)
			datagrams[kind] = datagram
		}
		m.send(d.address, datagram)
	}
	if len(dueSeeds) > 0 {
		datagram := m.encode(&peerv1.FleetReport{Rows: []*peerv1.FleetRow{full}, Introduce: true})
		for _, a := range dueSeeds {
			m.send(a, datagram)
		}
	}
	m.logChanges()
}

// noteLoad counts a change of the load. Who gets a heartbeat now learns of it from the
// next one.
func (m *Manager) noteLoad(hb *peerv1.FleetRow) {
	if proto.Equal(hb.GetLoad(), m.lastLoad) {
		return
	}
	m.lastLoad = hb.GetLoad()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.loadChange++
}

// encodeFor encodes what of full goes to d. Only instances of the local failure domain
// use the members of the domain.
func (m *Manager) encodeFor(full *peerv1.FleetRow, d destination) []byte {
	hb := heartbeatFor(full, d.remote)
	load, profiles, callers, members := hb.Load, hb.Profiles, hb.CallersAddress, hb.DomainMembers
	defer func() { hb.Load, hb.Profiles, hb.CallersAddress, hb.DomainMembers = load, profiles, callers, members }()
	if d.remote && !d.details.all {
		hb.Pools = withoutCapacity(hb.GetPools())
	}
	if !d.details.all {
		hb.Profiles, hb.CallersAddress = nil, ""
		if !d.details.load {
			hb.Load = nil
		}
	}
	if !d.ownDomain {
		hb.DomainMembers = nil
	}
	return m.encode(&peerv1.FleetReport{Rows: []*peerv1.FleetRow{hb}, Relay: d.relay, Overdue: d.overdue})
}

// withoutCapacity returns copies of pools without the capacity, which only versions use
// that do not know the slots.
func withoutCapacity(pools []*peerv1.PoolUse) []*peerv1.PoolUse {
	out := make([]*peerv1.PoolUse, len(pools))
	for i, p := range pools {
		if out[i] = p; p.GetSlots() > 0 {
			out[i] = proto.CloneOf(p)
			out[i].Capacity = 0
		}
	}
	return out
}

// heartbeatFor returns what of hb is sent to an instance of another region, if
// remote is set, or of the local one.
func heartbeatFor(hb *peerv1.FleetRow, remote bool) *peerv1.FleetRow {
	if remote {
		return reducedHeartbeat(hb)
	}
	return hb
}

// reducedHeartbeat returns a copy of hb without the load of individual targets
// and without cached prompt parts, for other regions: only instances of the same
// region choose among its targets.
func reducedHeartbeat(hb *peerv1.FleetRow) *peerv1.FleetRow {
	return &peerv1.FleetRow{
		Instance: hb.GetInstance(), Sequence: hb.GetSequence(), CallersAddress: hb.GetCallersAddress(), Ready: hb.GetReady(),
		Leaving: hb.GetLeaving(), PublishedChange: hb.GetPublishedChange(), TargetsChange: hb.GetTargetsChange(),
		StoreAnswers: hb.GetStoreAnswers(), Teams: hb.GetTeams(), Pools: hb.GetPools(), StartedMs: hb.GetStartedMs(),
		CrashBlocks: hb.GetCrashBlocks(), Relays: hb.GetRelays(), Load: hb.GetLoad(),
	}
}

// Announce immediately sends a heartbeat to each member, for updates that
// should not wait for the next interval or for a relay.
func (m *Manager) Announce() {
	full := m.newHeartbeat()
	datagrams := map[bool][]byte{}
	for _, remote := range []bool{false, true} {
		datagrams[remote] = m.encode(&peerv1.FleetReport{Rows: []*peerv1.FleetRow{heartbeatFor(full, remote)}})
	}
	for _, member := range m.Members() {
		m.send(member.Address(), datagrams[member.Region() != m.Self.GetRegion()])
	}
}

// newHeartbeat returns a heartbeat of the local instance with the next sequence
// number.
func (m *Manager) newHeartbeat() *peerv1.FleetRow {
	m.mu.Lock()
	m.lastSequence++
	hb := &peerv1.FleetRow{Instance: m.Self, Sequence: m.lastSequence, StartedMs: m.started.UnixMilli(), Relays: true}
	m.mu.Unlock()
	m.FillHeartbeat(hb)
	return hb
}

// encode returns nil if the report cannot be encoded, which it logs.
func (m *Manager) encode(report *peerv1.FleetReport) []byte {
	b, err := proto.Marshal(report)
	if err != nil {
		m.Log.Emit(event.PeerMessageInvalid, zap.String("peer", m.Self.GetPeerAddress()), zap.Error(err))
		return nil
	}
	return b
}

// send sends a datagram, unless it is empty.
func (m *Manager) send(peerAddress string, datagram []byte) {
	ip, _, err := net.SplitHostPort(peerAddress)
	if err != nil || len(datagram) == 0 {
		return // the address is not expected to be invalid: those of heartbeats and seeds were checked before
	}
	m.write(ip, datagram)
}

// writeUDP ignores write errors, as the next heartbeat supersedes a lost one.
func (m *Manager) writeUDP(ip string, datagram []byte) {
	_ = m.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = m.conn.WriteToUDP(datagram, &net.UDPAddr{IP: net.ParseIP(ip), Port: m.Port})
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
		m.handleDatagram(buf[:n], from.IP.String())
	}
}

// handleDatagram merges the heartbeats of a datagram and does what its sender asks
// for. from is the sender's IP address.
func (m *Manager) handleDatagram(datagram []byte, from string) {
	var report peerv1.FleetReport
	if err := proto.Unmarshal(datagram, &report); err != nil {
		m.Log.Emit(event.PeerMessageInvalid, zap.String("peer", from), zap.Error(err))
		return
	}
	for _, hb := range report.GetRows() {
		peer := hb.GetInstance().GetPeerAddress()
		host, _, err := net.SplitHostPort(peer)
		if err != nil {
			continue
		}
		isSender := host == from
		var relayed []byte
		if isSender && report.GetRelay() {
			// Merge fills in what the sender left out.
			relayed = m.encode(&peerv1.FleetReport{Rows: []*peerv1.FleetRow{hb}, Relayed: true})
		}
		isNew := m.Merge(hb, isSender || report.GetRelayed())
		// Who starts, asks or is new here should not wait for the next round.
		switch {
		case isSender && report.GetIntroduce():
			m.sendHeartbeat(peer, hb)
			m.introduce(peer, "")
		case isSender && isNew && hb.GetInstance().GetDomain() == m.Self.GetDomain():
			// It may not know others that have just started in the domain.
			m.sendHeartbeat(peer, hb)
			m.introduce(peer, m.Self.GetDomain())
		case isSender && report.GetOverdue(), isNew && (isSender || report.GetRelayed()):
			m.sendHeartbeat(peer, hb)
		}
		if len(relayed) > 0 {
			m.relay(peer, relayed)
		}
	}
}

// sendHeartbeat sends a heartbeat of the local instance to the one at peer, whose
// last heartbeat is hb.
func (m *Manager) sendHeartbeat(peer string, hb *peerv1.FleetRow) {
	own := heartbeatFor(m.newHeartbeat(), hb.GetInstance().GetRegion() != m.Self.GetRegion())
	m.send(peer, m.encode(&peerv1.FleetReport{Rows: []*peerv1.FleetRow{own}}))
}

// introduce tells the instance at peer how to contact the reachable members; see
// Table.introductions.
func (m *Manager) introduce(peer, domain string) {
	rows := m.introductions(domain)
	for len(rows) > 0 {
		n, size := 1, proto.Size(rows[0])
		for n < len(rows) && size+proto.Size(rows[n]) < maxDatagramBytes {
			size += proto.Size(rows[n])
			n++
		}
		m.send(peer, m.encode(&peerv1.FleetReport{Rows: rows[:n]}))
		rows = rows[n:]
	}
}

// logChanges logs members that became reachable or unreachable.
func (m *Manager) logChanges() {
	now := m.now()
	if now.Sub(m.lastLogged) < logInterval {
		return
	}
	m.lastLogged = now
	for _, member := range m.Members() {
		a := member.Address()
		if was, known := m.loggedReachable[a]; known && was == member.Reachable {
			continue
		}
		m.loggedReachable[a] = member.Reachable
		e := event.PeerLost
		if member.Reachable {
			e = event.PeerFound
		}
		m.Log.Emit(e, zap.String("peer", member.Name()), zap.String("address", a),
			zap.Duration("silent", now.Sub(member.LastSeen)), zap.Int("members", len(m.loggedReachable)))
	}
}
