package router

import (
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/route"
)

// Hosts get a new configuration one after the other. All hosts handle a query by the
// configuration of the host that took it from its caller, so that its parts are of one
// configuration: the same route, shards and number of records. A host that has a newer one
// keeps the former ones for a while.

const (
	// tableRetention is how long a replaced table is kept. Hosts that reach the store, or
	// a host that does, have replaced theirs by then.
	tableRetention = 5 * clock.Second
	// maxFormerTables bounds the memory: a table may hold a megabyte of routes.
	maxFormerTables = 4
)

// formerTable is a table that was replaced at replacedAt.
type formerTable struct {
	*route.Table
	replacedAt clock.Milli
}

// setTable puts a newer table in force, and keeps the one that it replaces.
func (e *Engine) setTable(now clock.Milli, t *route.Table) {
	if e.table != nil {
		e.formerTables = append(e.formerTables, formerTable{e.table, now})
		e.formerTables = slices.Delete(e.formerTables, 0, max(0, len(e.formerTables)-maxFormerTables))
	}
	e.table = t
	e.sharded = shardServices(t)
	e.emit(LogRecord{Kind: LogTable, Version: t.Version, Total: len(t.Routes)})
}

// tableOf returns the table of a version, or nil if this host has not got it yet or no longer
// keeps it.
func (e *Engine) tableOf(now clock.Milli, version uint64) *route.Table {
	if e.table.Version == version {
		return e.table
	}
	e.dropFormerTables(now)
	for _, t := range e.formerTables {
		if t.Version == version {
			return t.Table
		}
	}
	return nil
}

// dropFormerTables drops the tables that were replaced longer than tableRetention ago.
func (e *Engine) dropFormerTables(now clock.Milli) {
	e.formerTables = slices.DeleteFunc(e.formerTables, func(t formerTable) bool { return now-t.replacedAt > tableRetention })
}
