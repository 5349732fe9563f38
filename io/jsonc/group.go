package jsonc

import (
	"fmt"

	"basilmill/core/group"
	"basilmill/core/settings"
	"basilmill/core/validate"
)

// Group decodes the definition of a database group: its servers and their initial
// roles. The record has term 1 and generation 1. The error is an *Error.
func Group(data []byte) (*group.Record, error) {
	r := group.Record{Term: 1, Generation: 1}
	settings.ConnectionLimitRange.SetDefault(&r.ConnectionLimit)
	if err := decode(data, groupFields(&r), func() validate.Faults { return validateGroup(&r) }); err != nil {
		return nil, err
	}
	return &r, nil
}

func groupFields(r *group.Record) fields {
	return fields{
		"ID":              text(&r.ID),
		"Databases":       list(&r.Databases, text[string]),
		"ConnectionLimit": integer(&r.ConnectionLimit),
		"Primary":         text(&r.Primary),
		"Successor":       text(&r.Successor),
		"Servers":         list(&r.Servers, serverField),
	}
}

func serverField(s *group.Server) field {
	return object(fields{
		"ID":         text(&s.ID),
		"Address":    address(&s.Address),
		"DataCentre": text(&s.DataCentre),
	})
}

func validateGroup(r *group.Record) validate.Faults {
	var faults validate.Faults
	require := func(path validate.Path, present bool) {
		if !present {
			faults = append(faults, validate.Fault{Path: path, Problem: validate.Missing{}})
		}
	}
	require("ID", r.ID != "")
	require("Primary", r.Primary != "")
	require("Databases", len(r.Databases) > 0)
	require("Servers", len(r.Servers) > 0)
	faults = append(faults, settings.ConnectionLimitRange.Check("ConnectionLimit", r.ConnectionLimit)...)
	seen := make(map[group.ServerID]validate.Path)
	for i, s := range r.Servers {
		path := validate.Path("Servers").Index(i)
		require(path.Field("ID"), s.ID != "")
		require(path.Field("Address"), s.Address.IsValid() && s.Address.Port() != 0)
		require(path.Field("DataCentre"), s.DataCentre != "")
		if first, ok := seen[s.ID]; ok {
			faults = append(faults, validate.Fault{Path: path.Field("ID"), Problem: validate.Duplicate{Of: first}})
		}
		seen[s.ID] = path.Field("ID")
	}
	return append(faults, validateRoles(r)...)
}

func validateRoles(r *group.Record) validate.Faults {
	var faults validate.Faults
	check := func(path validate.Path, id group.ServerID) {
		if _, ok := r.Server(id); !ok && id != "" {
			faults = append(faults, validate.Fault{Path: path, Problem: validate.Malformed{Value: string(id), Reason: "names no server of the group"}})
		}
	}
	check("Primary", r.Primary)
	check("Successor", r.Successor)
	if r.Successor != "" && r.Successor == r.Primary {
		faults = append(faults, validate.Fault{Path: "Successor", Problem: validate.Duplicate{Of: "Primary"}})
	}
	if len(r.Servers) > 1 && r.Successor == "" {
		faults = append(faults, validate.Fault{Path: "Successor", Problem: validate.Malformed{
			Reason: fmt.Sprintf("a group of %d servers needs a successor, or no write can be confirmed", len(r.Servers)),
		}})
	}
	return faults
}
