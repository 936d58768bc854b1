package command

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bronzerill/internal/control/replica"
	"bronzerill/internal/run/process"
	"bronzerill/internal/run/router"
	"bronzerill/internal/settings/file"
	"bronzerill/platform"
)

// SettingsVariable is the environment variable for the path of the settings file. The
// --settings flag overrides it.
const SettingsVariable = "BRONZERILL_SETTINGS"

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE` of the process",
		Required: true, Sources: cli.EnvVars(SettingsVariable),
	}
}

func loadSettings(c *cli.Command) (file.Settings, error) {
	s, err := file.Load(c.String("settings"))
	if err != nil {
		return s, settingsError{err}
	}
	return s, nil
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the roles of a settings file until SIGTERM",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := loadSettings(c)
			if err != nil {
				return err
			}
			if s.Router != nil {
				return router.Run(ctx, s, c.String("settings"), platform.Adapter{})
			}
			return process.Run(ctx, s, os.Stderr)
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and print it with its defaults",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := loadSettings(c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(c.Root().Writer, s)
			return err
		},
	}
}

func initCommand() *cli.Command {
	return &cli.Command{
		Name:  "init",
		Usage: "initialize the data folder of a control replica",
		Description: "Use the same --replica list for all initial replicas of a new fleet.\n" +
			"Use --join for the replacement of a lost replica. It prints a new name, which repair needs.",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringSliceFlag{Name: "replica", Usage: "initial replica as `NAME=ADDRESS`; may be repeated"},
			&cli.BoolFlag{Name: "join", Usage: "join an existing control group"},
		},
		Action: runInit,
	}
}

func runInit(_ context.Context, c *cli.Command) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	if s.Replica == nil {
		return settingsError{errors.New("settings have no section control")}
	}
	name := s.Name
	members, err := parseReplicas(c.StringSlice("replica"))
	if err != nil {
		return err
	}
	if c.Bool("join") {
		if len(members.List) > 0 {
			return settingsError{errors.New("--join and --replica are mutually exclusive")}
		}
		name = replica.NewName(s.Name)
	} else if _, ok := members.Get(name); !ok {
		return settingsError{errors.Errorf("--replica list doesn't contain %s, the name in the settings", name)}
	}
	if err := replica.InitStore(s.Replica.DataFolder, name, members); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, name)
	return err
}

func parseReplicas(list []string) (replica.Members, error) {
	var members replica.Members
	for _, item := range list {
		name, addr, ok := strings.Cut(item, "=")
		if !ok || name == "" || addr == "" {
			return members, settingsError{errors.Errorf("--replica %q: want NAME=ADDRESS", item)}
		}
		members = members.With(replica.Member{Name: name, Addr: addr, Voter: true})
	}
	return members, nil
}
