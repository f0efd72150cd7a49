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

const drainUsage = `Drain takes a data centre or a target out: it edits the object, publishes, and waits
until every node has the release. From then on no new work goes there; what runs
is finished. Restore brings it back.`

func drainCommand() *cobra.Command {
	return moveCommand("drain", "Take a data centre or a target out", false)
}

func restoreCommand() *cobra.Command {
	return moveCommand("restore", "Bring a data centre or a target back", true)
}

func moveCommand(name, short string, in bool) *cobra.Command {
	var cl client
	var order operatorapi.PublishRequest
	var wait time.Duration
	c := &cobra.Command{
		Use:   name + " datacentre|target NAME",
		Short: short,
		Long:  drainUsage,
		Example: "  lacewingdrift " + name + " datacentre maipo --reason 'power works'\n" +
			"  lacewingdrift " + name + " target letters-3",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if err := cl.move(args[0], args[1], in, order.Reason); err != nil {
				return err
			}
			return cl.publish(c.OutOrStdout(), "/v1/publish", order, wait)
		},
	}
	c.Flags().StringVar(&order.Reason, "reason", "", "why, for the audit trail")
	c.Flags().BoolVar(&order.Force, "force", false, "publish even if a pool is out of reach")
	c.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to wait for all nodes")
	return cl.flags(c)
}

func (c *client) move(what, name string, in bool, reason string) error {
	switch what {
	case datacentre.Kind:
		return c.moveDatacentre(name, in, reason)
	case "target":
		return c.moveTarget(name, in, reason)
	}
	return merry.Errorf("must be datacentre or target, not %q", what)
}

func (c *client) moveDatacentre(name string, in bool, reason string) error {
	o, err := c.get(datacentre.Kind, name)
	if err != nil {
		return err
	}
	var d datacentre.Datacentre
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return merry.Prependf(err, "data centre %s", name)
	}
	state := datacentre.OutOfService
	if in {
		state = datacentre.InService
	}
	return c.write(o, d.WithState(state), reason)
}

func (c *client) moveTarget(name string, in bool, reason string) error {
	var pools []edit.Object
	if err := c.call(http.MethodGet, "/v1/objects/"+pool.Kind, nil, &pools); err != nil {
		return err
	}
	state := pool.OutOfService
	if in {
		state = pool.InService
	}
	for _, o := range pools {
		var p pool.Pool
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return merry.Prependf(err, "pool %s", o.Name)
		}
		if next, found := p.WithTargetState(name, state); found {
			return c.write(o, next, reason)
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
