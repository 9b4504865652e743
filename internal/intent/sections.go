package intent

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// field is one key of a section.
type field struct {
	name    string
	allowed string
	set     func(r *wire.Record, value string) error
}

// sectionKind is one kind of section, with the record that it declares.
type sectionKind struct {
	keyword string
	prefix  string
	// newRecord returns the record of a section that the state does not have yet. Nil
	// means that the record must already exist.
	newRecord func(name string) *wire.Record
	fields    []field
}

func (k *sectionKind) field(name string) (field, bool) {
	for _, f := range k.fields {
		if f.name == name {
			return f, true
		}
	}

	return field{}, false
}

func (k *sectionKind) keyNames() string {
	names := make([]string, 0, len(k.fields)+1)
	for _, f := range k.fields {
		names = append(names, f.name)
	}

	if k.newRecord != nil {
		names = append(names, removedKey)
	}

	return strings.Join(names, ", ")
}

// removedKey is the key that removes the record of its section.
const removedKey = "Removed"

const (
	allowedBool     = "true, false"
	allowedCount    = "a whole number from 0 to 4294967295"
	allowedBytes    = "a whole number of bytes"
	allowedDuration = "a time such as 90s or 2m"
	allowedCalls    = "METHOD /path, separated by commas"
	allowedWeight   = "a whole number from 1 to 1000000"
	allowedPriority = "a whole number from -1000 to 1000"
	allowedText     = "text"
)

var errInvalidValue = errors.New("the value is not of the kind")

// sectionKinds are all kinds of sections that a declaration may have. ColdLimit comes
// after Service, since it adds to the service's record.
var sectionKinds = []*sectionKind{
	{
		keyword: "Zone", prefix: ledger.ZonePrefix,
		newRecord: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Zone{Zone: &wire.Zone{Name: name}}}
		},
		fields: []field{
			textField("Region", func(r *wire.Record) *string { return &r.GetZone().Region }),
			boolField("Out", func(r *wire.Record) *bool { return &r.GetZone().Out }),
		},
	},
	{
		keyword: "Service", prefix: ledger.ServicePrefix,
		newRecord: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Service{Service: &wire.Service{Name: name}}}
		},
		fields: []field{
			{name: "IdempotentCalls", allowed: allowedCalls, set: setCalls},
			boolField("Resumable", func(r *wire.Record) *bool { return &r.GetService().Resumable }),
			textField("Model", func(r *wire.Record) *string { return &r.GetService().Model }),
			{name: "WeightBytes", allowed: allowedBytes, set: setWeightBytes},
			{name: "LongestRun", allowed: allowedDuration, set: setLongestRun},
		},
	},
	{
		keyword: "ColdLimit", prefix: ledger.ServicePrefix,
		fields: []field{
			countField("Cold", func(r *wire.Record) *uint32 { return &r.GetService().ColdLimit }),
			countField("Warm", func(r *wire.Record) *uint32 { return &r.GetService().WarmLimit }),
		},
	},
	{
		keyword: "Target", prefix: ledger.TargetPrefix,
		newRecord: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_TargetPolicy{TargetPolicy: &wire.TargetPolicy{AgentID: name}}}
		},
		fields: []field{
			boolField("Retired", func(r *wire.Record) *bool { return &r.GetTargetPolicy().Retired }),
		},
	},
	{
		keyword: "Workspace", prefix: ledger.WorkspacePrefix,
		newRecord: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Workspace{Workspace: &wire.Workspace{Name: name, Weight: 1}}}
		},
		fields: []field{
			{name: "Weight", allowed: allowedWeight, set: setWeight},
			{name: "Priority", allowed: allowedPriority, set: setPriority},
		},
	},
	{
		keyword: "Stop", prefix: ledger.StopPrefix,
		newRecord: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Stop{Stop: &wire.Stop{NodeID: name}}}
		},
		fields: []field{
			textField("Reason", func(r *wire.Record) *string { return &r.GetStop().Reason }),
		},
	},
	{
		keyword: "Group", prefix: ledger.GroupPrefix,
		newRecord: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Group{Group: &wire.Group{Name: name}}}
		},
		fields: []field{
			textField("Service", func(r *wire.Record) *string { return &r.GetGroup().Service }),
			countField("Ranks", func(r *wire.Record) *uint32 { return &r.GetGroup().Ranks }),
			countField("Experts", func(r *wire.Record) *uint32 { return &r.GetGroup().Experts }),
			countField("Layers", func(r *wire.Record) *uint32 { return &r.GetGroup().Layers }),
			countField("Slots", func(r *wire.Record) *uint32 { return &r.GetGroup().Slots }),
		},
	},
}

func textField(name string, ptr func(*wire.Record) *string) field {
	return field{name: name, allowed: allowedText, set: func(r *wire.Record, value string) error {
		*ptr(r) = value
		return nil
	}}
}

func boolField(name string, ptr func(*wire.Record) *bool) field {
	return field{name: name, allowed: allowedBool, set: func(r *wire.Record, value string) error {
		switch value {
		case "true":
			*ptr(r) = true
		case "false":
			*ptr(r) = false
		default:
			return errInvalidValue
		}

		return nil
	}}
}

func countField(name string, ptr func(*wire.Record) *uint32) field {
	return field{name: name, allowed: allowedCount, set: func(r *wire.Record, value string) error {
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return errInvalidValue
		}

		*ptr(r) = uint32(n)

		return nil
	}}
}

func setWeightBytes(r *wire.Record, value string) error {
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return errInvalidValue
	}

	r.GetService().WeightBytes = n

	return nil
}

func setLongestRun(r *wire.Record, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return errInvalidValue
	}

	r.GetService().LongestMillis = uint64(d.Milliseconds())

	return nil
}

const maxWeight = 1_000_000

// setWeight rejects a weight of zero: the workspace would never be scheduled.
func setWeight(r *wire.Record, value string) error {
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 || n > maxWeight {
		return errInvalidValue
	}

	r.GetWorkspace().Weight = uint32(n)

	return nil
}

const maxPriority = 1000

func setPriority(r *wire.Record, value string) error {
	n, err := strconv.ParseInt(value, 10, 32)
	if err != nil || n < -maxPriority || n > maxPriority {
		return errInvalidValue
	}

	r.GetWorkspace().Priority = int32(n)

	return nil
}

func setCalls(r *wire.Record, value string) error {
	r.GetService().IdempotentCalls = nil

	if value == "" {
		return nil
	}

	for _, call := range strings.Split(value, ",") {
		method, path, ok := strings.Cut(strings.TrimSpace(call), " ")
		path = strings.TrimSpace(path)

		if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \t") {
			return errInvalidValue
		}

		r.GetService().IdempotentCalls = append(r.GetService().IdempotentCalls, method+" "+path)
	}

	return nil
}
