package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

// loadsMessage is the content of one datagram. Loads are absolute values, not changes, so a lost datagram needs no
// repair.
type loadsMessage struct {
	Peer        string `json:"peer"`
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Loads       []byte `json:"loads"`
	// AgeMs is the time since the platform answered the sender, in milliseconds; negative for never.
	AgeMs  int64        `json:"age_ms"`
	Config conf.Version `json:"config"`
	Hosts  conf.Version `json:"hosts"`
}

func newLoadsMessage(a *node.SendLoads) loadsMessage {
	age := int64(-1)
	if a.Freshness.Age >= 0 {
		age = a.Freshness.Age.Milliseconds()
	}
	return loadsMessage{Sequence: a.Sequence, Loads: a.Digest, AgeMs: age, Config: a.Freshness.Config, Hosts: a.Freshness.Hosts}
}

func (m *loadsMessage) input() node.LoadsReceived {
	return node.LoadsReceived{
		Peer: m.Peer, Incarnation: m.Incarnation, Sequence: m.Sequence, Digest: m.Loads,
		Freshness: node.Freshness{Age: time.Duration(m.AgeMs) * time.Millisecond, Config: m.Config, Hosts: m.Hosts},
	}
}

// LoadExchange sends and receives load digests of entry hosts by datagram.
type LoadExchange struct {
	conn        *net.UDPConn
	control     Control
	peer        string
	incarnation string
	log         hclog.Logger
}

// maxDatagram is the maximum size of a datagram, in bytes.
const maxDatagram = 60 << 10

// ListenLoads listens for digests on address, an IP address and port. What the result sends names peer and
// incarnation, the peer address and the incarnation of this process, as the sender.
func ListenLoads(address, peer, incarnation string, control Control, log hclog.Logger) (*LoadExchange, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	return &LoadExchange{conn: conn, control: control, peer: peer, incarnation: incarnation, log: log}, nil
}

// Send sends a digest to each of the action's hosts. It logs errors and does not retry: datagrams may get lost anyway.
func (l *LoadExchange) Send(a node.SendLoads) {
	message := newLoadsMessage(&a)
	message.Peer, message.Incarnation = l.peer, l.incarnation
	raw, err := json.Marshal(message)
	if err != nil || len(raw) > maxDatagram {
		l.log.Warn("load digest not sent", "bytes", len(raw), "error", err)
		return
	}
	for _, to := range a.To {
		address, err := netip.ParseAddrPort(to)
		if err != nil {
			l.log.Warn("load digest not sent", "to", to, "error", err.Error())
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(raw, address); err != nil {
			l.log.Debug("load digest not sent", "to", to, "error", err.Error())
		}
	}
}

// Receive posts received digests to the control loop until the context ends, and closes the socket then.
func (l *LoadExchange) Receive(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			l.log.Debug("load digest not received", "error", err.Error())
			continue
		}
		var m loadsMessage
		if err := json.Unmarshal(buffer[:n], &m); err != nil {
			l.log.Warn("malformed load digest", "error", err.Error())
			continue
		}
		l.control.Post(m.input())
	}
}
