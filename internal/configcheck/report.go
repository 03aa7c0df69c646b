package configcheck

// Report is the result of a check.
type Report struct {
	Errors   []Finding
	Warnings []Finding
	// Changes are the differences from the active version, if one was given.
	Changes []Change
}

// Finding is a problem with the place where the operator finds it in the file.
type Finding struct {
	Place string
	Text  string
}

// ChangeKind says what happened to a record or to one of its fields.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference from the active version. Old and New are JSON texts; they are empty for
// whole records, for absent values and for secrets.
type Change struct {
	Kind     ChangeKind
	Place    string
	Old, New string
}
