org.pollensill.cli.settings.SettingsCommand
org.pollensill.cli.admin.StatusCommand
org.pollensill.cli.admin.ExplainCommand
org.pollensill.cli.admin.HostCommand
org.pollensill.cli.admin.ReportCommand
org.pollensill.cli.job.JobCommand
org.pollensill.cli.job.TaskCommand
org.pollensill.cli.config.ConfigCommand
