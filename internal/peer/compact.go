package peer

import (
	"encoding/hex"
	"net/netip"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/node"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// compactMessage is the content of one datagram in the compact form, in CBOR. Addresses and incarnations are byte strings
// instead of texts, see packAddress and packIncarnation, and the versions, which most hosts share, are listed once. It has
// one element more than loadsMessage, by which the two are told apart.
type compactMessage struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's peer address, packed.
	From     any
	Hop      loadshare.Hop
	Versions []versionMessage
	Digests  []compactDigest
}

// compactDigest is a digestMessage in the compact form. Config and Hosts are indexes into the versions of the message.
type compactDigest struct {
	_           struct{} `cbor:",toarray"`
	Peer        any
	Incarnation any
	Sequence    uint64
	Loads       []byte
	AgeMs       int64
	Config      int
	Hosts       int
}

// compactHead is the first byte of a datagram in the compact form: an array of four elements.
const compactHead = 0x84

// Errors for datagrams in the compact form.
const (
	errNotPacked      = errors.ConstError("address or incarnation is neither text nor bytes")
	errUnknownVersion = errors.ConstError("index of a version that is not listed")
)

// newCompactMessage returns the content of a datagram in the compact form.
func newCompactMessage(from string, b *loadshare.Bundle) compactMessage {
	out := compactMessage{From: packAddress(from), Hop: b.Hop}
	indexes := make(map[conf.Version]int)
	index := func(v conf.Version) int {
		i, ok := indexes[v]
		if !ok {
			i = len(out.Versions)
			indexes[v] = i
			out.Versions = append(out.Versions, versionMessage{Revision: v.Revision, Digest: v.Digest})
		}
		return i
	}
	for i := range b.Digests {
		d := &b.Digests[i]
		out.Digests = append(out.Digests, compactDigest{
			Peer: packAddress(d.Peer), Incarnation: packIncarnation(d.Incarnation), Sequence: d.Sequence, Loads: d.Loads,
			AgeMs: ageMs(d.Freshness.Age), Config: index(d.Freshness.Config), Hosts: index(d.Freshness.Hosts),
		})
	}
	return out
}

// decodeCompact returns the input for the control loop that a datagram in the compact form carries.
func decodeCompact(raw []byte) (node.LoadsReceived, error) {
	var m compactMessage
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return node.LoadsReceived{}, errors.Trace(err)
	}
	from, err := unpackAddress(m.From)
	if err != nil {
		return node.LoadsReceived{}, errors.Trace(err)
	}
	if !isKnownHop(m.Hop) {
		return node.LoadsReceived{}, errors.Annotatef(errUnknownHop, "%d", m.Hop)
	}
	in := node.LoadsReceived{From: from, Bundle: loadshare.Bundle{Hop: m.Hop}}
	for i := range m.Digests {
		d, err := m.Digests[i].unpack(m.Versions)
		if err != nil {
			return node.LoadsReceived{}, errors.Trace(err)
		}
		in.Bundle.Digests = append(in.Bundle.Digests, d)
	}
	return in, nil
}

func (d *compactDigest) unpack(versions []versionMessage) (loadshare.Digest, error) {
	peer, err := unpackAddress(d.Peer)
	if err != nil {
		return loadshare.Digest{}, err
	}
	incarnation, err := unpackIncarnation(d.Incarnation)
	if err != nil {
		return loadshare.Digest{}, err
	}
	for _, i := range []int{d.Config, d.Hosts} {
		if i < 0 || i >= len(versions) {
			return loadshare.Digest{}, errors.Annotatef(errUnknownVersion, "%d of %d", i, len(versions))
		}
	}
	return loadshare.Digest{
		Peer: peer, Incarnation: incarnation, Sequence: d.Sequence, Loads: d.Loads,
		Freshness: loadshare.Freshness{
			Age:    time.Duration(d.AgeMs) * time.Millisecond,
			Config: versions[d.Config].version(),
			Hosts:  versions[d.Hosts].version(),
		},
	}, nil
}

// packAddress returns an IP address and port in its binary form, or the text itself if that would be decoded to another
// text.
func packAddress(text string) any {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.String() != text {
		return text
	}
	raw, err := address.MarshalBinary()
	if err != nil {
		return text
	}
	return raw
}

func unpackAddress(packed any) (string, error) {
	switch packed := packed.(type) {
	case string:
		return packed, nil
	case []byte:
		var address netip.AddrPort
		if err := address.UnmarshalBinary(packed); err != nil {
			return "", errors.Trace(err)
		}
		return address.String(), nil
	}
	return "", errors.Trace(errNotPacked)
}

// packIncarnation returns the bytes of an incarnation in hexadecimal form, or the text itself if that would be decoded to
// another text.
func packIncarnation(text string) any {
	raw, err := hex.DecodeString(text)
	if err != nil || hex.EncodeToString(raw) != text {
		return text
	}
	return raw
}

func unpackIncarnation(packed any) (string, error) {
	switch packed := packed.(type) {
	case string:
		return packed, nil
	case []byte:
		return hex.EncodeToString(packed), nil
	}
	return "", errors.Trace(errNotPacked)
}
