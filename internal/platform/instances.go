package platform

import (
	"context"
	"encoding/json"
)

// PathInstances is the path of the list of instances.
const PathInstances = "/v1/instances"

// Role is the kind of process that runs on an instance.
type Role string

const (
	EntryRole   Role = "entry"
	BackendRole Role = "backend"
)

// Instance is an entry of the platform's list of instances. The list is updated
// with a delay.
type Instance struct {
	name          string
	role          Role
	service       string
	address       string
	peersAddress  string
	failureDomain string
	leaving       bool
	preemptible   bool
	checksFencing bool
}

func (i Instance) Name() string { return i.name }

func (i Instance) Role() Role { return i.role }

// Service returns the service that a backend server runs.
func (i Instance) Service() string { return i.service }

// Address returns the address to which requests are sent.
func (i Instance) Address() string { return i.address }

// PeersAddress returns the address on which an entry instance serves its peers.
func (i Instance) PeersAddress() string { return i.peersAddress }

func (i Instance) FailureDomain() string { return i.failureDomain }

// Leaving reports whether the platform is about to stop the instance.
func (i Instance) Leaving() bool { return i.leaving }

// Preemptible reports whether the platform may stop the instance with only seconds of
// notice.
func (i Instance) Preemptible() bool { return i.preemptible }

// ChecksFencing reports whether the backend server refuses commands with an old
// fencing epoch.
func (i Instance) ChecksFencing() bool { return i.checksFencing }

// WireInstance is the JSON form of an instance.
type WireInstance struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Service       string `json:"service,omitempty"`
	Address       string `json:"address"`
	PeersAddress  string `json:"peers-address,omitempty"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Preemptible   bool   `json:"cheap,omitempty"`
	ChecksFencing bool   `json:"checks-fencing,omitempty"`
}

// WireInstances is the JSON form of the list of instances.
type WireInstances struct {
	Instances []WireInstance `json:"instances"`
}

// NewInstance converts the JSON form of an instance.
func NewInstance(w WireInstance) Instance {
	return Instance{
		name: w.Name, role: Role(w.Role), service: w.Service, address: w.Address,
		peersAddress: w.PeersAddress, failureDomain: w.FailureDomain,
		leaving: w.State == "leaving", preemptible: w.Preemptible, checksFencing: w.ChecksFencing,
	}
}

// Instances reads the platform's list of live and leaving instances.
func (c *Client) Instances(ctx context.Context, address string) ([]Instance, error) {
	reply, err := c.call(ctx, "GET", address, PathInstances, nil)
	if err != nil {
		return nil, err
	}
	if reply.Status() != 200 {
		return nil, Class.New("instance list returned status %d", reply.Status())
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
