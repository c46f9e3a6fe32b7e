package daemon

import "carobshunt/internal/core/node"

// executeEngine carries out the actions that go to engines beside dispatches.
func (x *executor) executeEngine(action node.Action) {
	switch a := action.(type) {
	case node.Reserve:
		go x.engines.Reserve(x.ctx, a)
	case node.Release:
		go x.engines.Release(x.ctx, a)
	case node.ListMemory:
		go x.engines.ListMemory(x.ctx, a)
	case node.CancelHolding:
		x.log.Debug("engine memory swept", "engine", a.Target, "kind", a.Kind, "name", a.Name, "reason", a.Reason)
		go x.engines.CancelHolding(x.ctx, a)
	case node.ReadOrders:
		go x.engines.ReadOrders(x.ctx, a)
	case node.SendOrder:
		go x.engines.SendOrder(x.ctx, a)
	}
}
