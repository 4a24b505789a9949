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
	// maxDatagram is the size up to which rows are put into one datagram, in
	// bytes; larger ones are split by IP and lost more often.
	maxDatagram  = 1300
	readBuffer   = 64 << 10
	writeTimeout = 50 * time.Millisecond
)

// Config is what a Manager needs.
type Config struct {
	Self *peerv1.Identity
	// IP and Port are where rows are received. All instances use the same port.
	IP   string
	Port int
	// FillHeartbeat fills in the row of the instance; it is called before each round.
	FillHeartbeat func(row *peerv1.FleetRow)
	Log           *event.Logger
}

// Manager sends and receives rows.
type Manager struct {
	Config
	*Table
	conn    *net.UDPConn
	started time.Time
	next    uint64
	// reachable is the last state that was logged, by peer address.
	reachable map[string]bool
}

// NewManager opens the socket for rows.
func NewManager(cfg Config) (*Manager, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(cfg.IP), Port: cfg.Port})
	if err != nil {
		return nil, errors.Wrap(err, "listen for rows of other instances")
	}
	return &Manager{
		Config: cfg, Table: NewTable(cfg.Self, time.Now), conn: conn, started: time.Now(), reachable: map[string]bool{},
	}, nil
}

// Run exchanges rows until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = m.conn.Close() })()
	go m.receive(ctx)
	tick := time.NewTicker(nearInterval)
	defer tick.Stop()
	for {
		m.round()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// round sends the rows that are due.
func (m *Manager) round() {
	rows, introductions := m.Due()
	if len(rows)+len(introductions) == 0 {
		return
	}
	own := m.ownRow()
	short := shortRow(own)
	for _, a := range rows {
		row := own
		if !m.SameRegion(a) {
			row = short
		}
		m.send(a, &peerv1.FleetReport{Rows: []*peerv1.FleetRow{row}})
	}
	for _, a := range introductions {
		m.send(a, &peerv1.FleetReport{Rows: []*peerv1.FleetRow{own}, Introduce: true})
	}
	m.logChanges()
}

// shortRow leaves out the load on single targets, which only instances of the own
// region choose among.
func shortRow(row *peerv1.FleetRow) *peerv1.FleetRow {
	return &peerv1.FleetRow{
		Instance: row.GetInstance(), Sequence: row.GetSequence(), CallersAddress: row.GetCallersAddress(), Ready: row.GetReady(),
		Leaving: row.GetLeaving(), PublishedChange: row.GetPublishedChange(), TargetsChange: row.GetTargetsChange(),
		StoreAnswers: row.GetStoreAnswers(), Teams: row.GetTeams(), Pools: row.GetPools(), StartedMs: row.GetStartedMs(),
	}
}

// Announce sends the own row to all members at once, for news that should not
// wait for the next round.
func (m *Manager) Announce() {
	own := m.ownRow()
	for _, member := range m.Members() {
		m.send(member.Row.GetInstance().GetPeerAddress(), &peerv1.FleetReport{Rows: []*peerv1.FleetRow{own}})
	}
}

func (m *Manager) ownRow() *peerv1.FleetRow {
	m.mu.Lock()
	m.next++
	row := &peerv1.FleetRow{Instance: m.Self, Sequence: m.next, StartedMs: m.started.UnixMilli()}
	m.mu.Unlock()
	m.FillHeartbeat(row)
	return row
}

// send writes a datagram; a lost one is made up for by the next row.
func (m *Manager) send(peerAddress string, report *peerv1.FleetReport) {
	host, _, err := net.SplitHostPort(peerAddress)
	if err != nil {
		return // only addresses of rows and seeds, which were checked
	}
	b, err := proto.Marshal(report)
	if err != nil {
		m.Log.Emit(event.RowFault, zap.String("peer", peerAddress), zap.Error(err))
		return
	}
	_ = m.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = m.conn.WriteToUDP(b, &net.UDPAddr{IP: net.ParseIP(host), Port: m.Port})
}

func (m *Manager) receive(ctx context.Context) {
	buf := make([]byte, readBuffer)
	for ctx.Err() == nil {
		n, from, err := m.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // such as a refusal by a port where nobody listens yet
		}
		var report peerv1.FleetReport
		if err := proto.Unmarshal(buf[:n], &report); err != nil {
			m.Log.Emit(event.RowFault, zap.String("peer", from.String()), zap.Error(err))
			continue
		}
		m.take(&report, from.IP.String())
	}
}

func (m *Manager) take(report *peerv1.FleetReport, from string) {
	for _, row := range report.GetRows() {
		peer := row.GetInstance().GetPeerAddress()
		host, _, err := net.SplitHostPort(peer)
		if err != nil {
			continue
		}
		direct := host == from
		fresh := m.Merge(row, direct)
		if direct && (fresh || report.GetIntroduce()) {
			m.introduce(peer)
		}
	}
}

// introduce tells a new member of the others, itself included.
func (m *Manager) introduce(peer string) {
	rows := append([]*peerv1.FleetRow{m.ownRow()}, m.ReachableHeartbeats()...)
	for len(rows) > 0 {
		n, size := 1, proto.Size(rows[0])
		for n < len(rows) && size+proto.Size(rows[n]) < maxDatagram {
			size += proto.Size(rows[n])
			n++
		}
		m.send(peer, &peerv1.FleetReport{Rows: rows[:n]})
		rows = rows[n:]
	}
}

// logChanges logs members that were found or lost.
func (m *Manager) logChanges() {
	for _, member := range m.Members() {
		a := member.Row.GetInstance().GetPeerAddress()
		if was, known := m.reachable[a]; known && was == member.Reachable {
			continue
		}
		m.reachable[a] = member.Reachable
		e := event.PeerLost
		if member.Reachable {
			e = event.PeerFound
		}
		m.Log.Emit(e, zap.String("peer", member.Name()), zap.String("address", a),
			zap.Duration("silent", time.Since(member.LastSeen)), zap.Int("members", len(m.reachable)))
	}
}
