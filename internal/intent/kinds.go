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

// kind is one kind of section, and the record that it declares.
type kind struct {
	section string
	prefix  string
	// fresh returns the record of a section that the state does not have yet;
	// nil means that the record must exist.
	fresh  func(name string) *wire.Record
	fields []field
}

func (k *kind) field(name string) (field, bool) {
	for _, f := range k.fields {
		if f.name == name {
			return f, true
		}
	}

	return field{}, false
}

func (k *kind) keys() string {
	names := make([]string, 0, len(k.fields)+1)
	for _, f := range k.fields {
		names = append(names, f.name)
	}

	if k.fresh != nil {
		names = append(names, removedKey)
	}

	return strings.Join(names, ", ")
}

// removedKey removes the record that its section names.
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

var errValue = errors.New("the value is not of the kind")

// kinds are all sections that a declaration may have. ColdLimit stands after
// Service, since it adds to the service's record.
var kinds = []*kind{
	{
		section: "Zone", prefix: ledger.ZonePrefix,
		fresh: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Zone{Zone: &wire.Zone{Name: name}}}
		},
		fields: []field{
			text("Region", func(r *wire.Record) *string { return &r.GetZone().Region }),
			flag("Out", func(r *wire.Record) *bool { return &r.GetZone().Out }),
		},
	},
	{
		section: "Service", prefix: ledger.ServicePrefix,
		fresh: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Service{Service: &wire.Service{Name: name}}}
		},
		fields: []field{
			{name: "IdempotentCalls", allowed: allowedCalls, set: setCalls},
			flag("Resumable", func(r *wire.Record) *bool { return &r.GetService().Resumable }),
			text("Model", func(r *wire.Record) *string { return &r.GetService().Model }),
			{name: "WeightBytes", allowed: allowedBytes, set: setWeightBytes},
			{name: "LongestRun", allowed: allowedDuration, set: setLongestRun},
		},
	},
	{
		section: "ColdLimit", prefix: ledger.ServicePrefix,
		fields: []field{
			count("Cold", func(r *wire.Record) *uint32 { return &r.GetService().ColdLimit }),
			count("Warm", func(r *wire.Record) *uint32 { return &r.GetService().WarmLimit }),
		},
	},
	{
		section: "Target", prefix: ledger.TargetPrefix,
		fresh: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_TargetPolicy{TargetPolicy: &wire.TargetPolicy{AgentID: name}}}
		},
		fields: []field{
			flag("Retired", func(r *wire.Record) *bool { return &r.GetTargetPolicy().Retired }),
		},
	},
	{
		section: "Workspace", prefix: ledger.WorkspacePrefix,
		fresh: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Workspace{Workspace: &wire.Workspace{Name: name, Weight: 1}}}
		},
		fields: []field{
			{name: "Weight", allowed: allowedWeight, set: setWeight},
			{name: "Priority", allowed: allowedPriority, set: setPriority},
		},
	},
	{
		section: "Stop", prefix: ledger.StopPrefix,
		fresh: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Stop{Stop: &wire.Stop{NodeID: name}}}
		},
		fields: []field{
			text("Reason", func(r *wire.Record) *string { return &r.GetStop().Reason }),
		},
	},
	{
		section: "Group", prefix: ledger.GroupPrefix,
		fresh: func(name string) *wire.Record {
			return &wire.Record{Value: &wire.Record_Group{Group: &wire.Group{Name: name}}}
		},
		fields: []field{
			text("Service", func(r *wire.Record) *string { return &r.GetGroup().Service }),
			count("Ranks", func(r *wire.Record) *uint32 { return &r.GetGroup().Ranks }),
			count("Experts", func(r *wire.Record) *uint32 { return &r.GetGroup().Experts }),
			count("Layers", func(r *wire.Record) *uint32 { return &r.GetGroup().Layers }),
			count("Slots", func(r *wire.Record) *uint32 { return &r.GetGroup().Slots }),
		},
	},
}

func text(name string, at func(*wire.Record) *string) field {
	return field{name: name, allowed: allowedText, set: func(r *wire.Record, value string) error {
		*at(r) = value
		return nil
	}}
}

func flag(name string, at func(*wire.Record) *bool) field {
	return field{name: name, allowed: allowedBool, set: func(r *wire.Record, value string) error {
		switch value {
		case "true":
			*at(r) = true
		case "false":
			*at(r) = false
		default:
			return errValue
		}

		return nil
	}}
}

func count(name string, at func(*wire.Record) *uint32) field {
	return field{name: name, allowed: allowedCount, set: func(r *wire.Record, value string) error {
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return errValue
		}

		*at(r) = uint32(n)

		return nil
	}}
}

func setWeightBytes(r *wire.Record, value string) error {
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return errValue
	}

	r.GetService().WeightBytes = n

	return nil
}

func setLongestRun(r *wire.Record, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return errValue
	}

	r.GetService().LongestMillis = uint64(d.Milliseconds())

	return nil
}

const maxWeight = 1_000_000

// setWeight refuses a weight of zero, with which a workspace would never get a turn.
func setWeight(r *wire.Record, value string) error {
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 || n > maxWeight {
		return errValue
	}

	r.GetWorkspace().Weight = uint32(n)

	return nil
}

const maxPriority = 1000

func setPriority(r *wire.Record, value string) error {
	n, err := strconv.ParseInt(value, 10, 32)
	if err != nil || n < -maxPriority || n > maxPriority {
		return errValue
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
			return errValue
		}

		r.GetService().IdempotentCalls = append(r.GetService().IdempotentCalls, method+" "+path)
	}

	return nil
}
