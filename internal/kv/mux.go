package kv

import "strings"

// Mux is a View of a prefix that passes its items and events to views of longer
// prefixes.
type Mux struct {
	routes []muxRoute
}

type muxRoute struct {
	prefix string
	view   View
}

// NewMux returns a mux that has no views yet.
func NewMux() *Mux { return &Mux{} }

// Add registers a view for the keys with a prefix.
func (m *Mux) Add(prefix string, view View) *Mux {
	m.routes = append(m.routes, muxRoute{prefix, view})
	return m
}

// Reset resets every view with the items that have its prefix.
func (m *Mux) Reset(items []Item) {
	for _, r := range m.routes {
		r.view.Reset(filterPrefix(items, r.prefix))
	}
}

// Apply passes events to the views whose prefix they have.
func (m *Mux) Apply(events []Item) {
	for _, r := range m.routes {
		if matching := filterPrefix(events, r.prefix); len(matching) > 0 {
			r.view.Apply(matching)
		}
	}
}

// Reachable calls Reachable of every view.
func (m *Mux) Reachable(ok bool) {
	for _, r := range m.routes {
		r.view.Reachable(ok)
	}
}

func filterPrefix(items []Item, prefix string) []Item {
	var out []Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, prefix) {
			out = append(out, item)
		}
	}
	return out
}

// Tee returns a view that passes all items and events to each of the views.
func Tee(views ...View) View {
	m := NewMux()
	for _, v := range views {
		m.Add("", v)
	}
	return m
}
