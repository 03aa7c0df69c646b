package platform

import (
	"context"
	"encoding/json"
)

// PathInstances lists the instances.
const PathInstances = "/v1/instances"

// Role says what runs on an instance.
type Role string

// The roles.
const (
	EntryRole   Role = "entry"
	BackendRole Role = "backend"
)

// Instance is one line of the platform's lagging list.
type Instance struct {
	name          string
	role          Role
	service       string
	address       string
	peersAddress  string
	failureDomain string
	leaving       bool
	cheap         bool
	checksFencing bool
}

// Name returns the instance's name.
func (i Instance) Name() string { return i.name }

// Role returns what runs on the instance.
func (i Instance) Role() Role { return i.role }

// Service returns the service of a backend server.
func (i Instance) Service() string { return i.service }

// Address returns where requests go.
func (i Instance) Address() string { return i.address }

// PeersAddress returns where peers of an entry instance connect.
func (i Instance) PeersAddress() string { return i.peersAddress }

// FailureDomain returns the instance's failure domain.
func (i Instance) FailureDomain() string { return i.failureDomain }

// Leaving tells whether the instance is about to go.
func (i Instance) Leaving() bool { return i.leaving }

// Cheap tells whether the instance may vanish with seconds of notice.
func (i Instance) Cheap() bool { return i.cheap }

// ChecksFencing tells whether the backend server refuses old epochs.
func (i Instance) ChecksFencing() bool { return i.checksFencing }

// WireInstance is an instance as JSON.
type WireInstance struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Service       string `json:"service,omitempty"`
	Address       string `json:"address"`
	PeersAddress  string `json:"peers-address,omitempty"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Cheap         bool   `json:"cheap,omitempty"`
	ChecksFencing bool   `json:"checks-fencing,omitempty"`
}

// WireInstances is the list as JSON.
type WireInstances struct {
	Instances []WireInstance `json:"instances"`
}

// NewInstance maps the JSON form.
func NewInstance(w WireInstance) Instance {
	return Instance{
		name: w.Name, role: Role(w.Role), service: w.Service, address: w.Address,
		peersAddress: w.PeersAddress, failureDomain: w.FailureDomain,
		leaving: w.State == "leaving", cheap: w.Cheap, checksFencing: w.ChecksFencing,
	}
}

// Instances reads the list of live and leaving instances.
func (c *Client) Instances(ctx context.Context, address string) ([]Instance, error) {
	reply, err := c.call(ctx, "GET", address, PathInstances, nil)
	if err != nil {
		return nil, err
	}
	if reply.Status() != 200 {
		return nil, Class.New("instances answered %d", reply.Status())
	}
	var wire WireInstances
	if err := json.Unmarshal(reply.Body(), &wire); err != nil {
		return nil, Class.Wrap(err)
	}
	list := make([]Instance, 0, len(wire.Instances))
	for _, w := range wire.Instances {
		list = append(list, NewInstance(w))
	}
	return list, nil
}
