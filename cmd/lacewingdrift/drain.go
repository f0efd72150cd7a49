package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/operatorapi"
)

const drainUsage = `Drain takes a data centre or a target out of service: it edits the object, publishes,
and waits until every node has the release. From then on no new work is sent there;
running work is finished. Restore puts it back in service.`

func drainCommand() *cobra.Command {
	return setInServiceCommand("drain", "Take a data centre or a target out of service", false)
}

func restoreCommand() *cobra.Command {
	return setInServiceCommand("restore", "Put a data centre or a target back in service", true)
}

func setInServiceCommand(name, short string, inService bool) *cobra.Command {
	var cl client
	var req operatorapi.PublishRequest
	var wait time.Duration
	c := &cobra.Command{
		Use:   name + " datacentre|target NAME",
		Short: short,
		Long:  drainUsage,
		Example: "  lacewingdrift " + name + " datacentre maipo --reason 'power works'\n" +
			"  lacewingdrift " + name + " target letters-3",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if err := cl.setInService(args[0], args[1], inService, req.Reason); err != nil {
				return err
			}
			return cl.publish(c.OutOrStdout(), "/v1/publish", req, wait)
		},
	}
	c.Flags().StringVar(&req.Reason, "reason", "", "reason for the change, for the audit trail")
	c.Flags().BoolVar(&req.Force, "force", false, "publish even if a pool is left without a data centre in service")
	c.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to wait until all nodes have the release")
	return cl.flags(c)
}

func (c *client) setInService(kind, name string, inService bool, reason string) error {
	switch kind {
	case datacentre.Kind:
		return c.setDatacentreInService(name, inService, reason)
	case "target":
		return c.setTargetInService(name, inService, reason)
	}
	return merry.Errorf("must be datacentre or target, not %q", kind)
}

func (c *client) setDatacentreInService(name string, inService bool, reason string) error {
	o, err := c.get(datacentre.Kind, name)
	if err != nil {
		return err
	}
	var d datacentre.Datacentre
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return merry.Prependf(err, "data centre %s", name)
	}
	state := datacentre.OutOfService
	if inService {
		state = datacentre.InService
	}
	return c.write(o, d.WithState(state), reason)
}

func (c *client) setTargetInService(name string, inService bool, reason string) error {
	var pools []edit.Object
	if err := c.call(http.MethodGet, "/v1/objects/"+pool.Kind, nil, &pools); err != nil {
		return err
	}
	state := pool.OutOfService
	if inService {
		state = pool.InService
	}
	for _, o := range pools {
		var p pool.Pool
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return merry.Prependf(err, "pool %s", o.Name)
		}
		if updated, found := p.WithTargetState(name, state); found {
			return c.write(o, updated, reason)
		}
	}
	return merry.Errorf("no pool has a target %q", name)
}

func (c *client) write(o edit.Object, value any, reason string) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = c.put(o.Kind, o.Name, operatorapi.PutRequest{Version: o.Version, Value: data, Reason: reason})
	return err
}
