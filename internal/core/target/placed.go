package target

// EachPlaced calls f with the load that each host has placed at the target, by peer address, in no particular order. This
// host's own has the given address.
func (t *Target) EachPlaced(self string, f func(peer string, load *Load)) {
	f(self, &t.own)
	for peer, load := range t.peers {
		f(peer, &load)
	}
}
