/**
 * The `run` command.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { type CommandOutcome, createFailure, OperatorCommand, readSettings } from "./_operatorCommand.js";
import { EXIT_CODES } from "./exitCodes.js";

/** Runs one host until its graceful shutdown has finished. */
export class RunCommand extends OperatorCommand {
    static override paths = [["run"]];
    static override usage = Command.Usage({
        description: "Run one host until it has left.",
        details: "SIGTERM, SIGINT or the `drain` command begin its graceful shutdown; it then exits with 0.",
        examples: [["Run a host", "$0 run host.jsonc"]],
    });

    file = Option.String({ required: true, name: "settings" });

    protected override async perform(): Promise<CommandOutcome> {
        const settings = await readSettings(this.file);
        if (settings.isErr()) {
            return settings.error;
        }
        const { host: name } = settings.value;
        try {
            const host = await this.context.startHost(settings.value);
            this.context.onTerminate(() => void host.drain());
            await host.closed;
        }
        catch (error) {
            const message = error instanceof Error ? error.message : String(error);
            return createFailure(EXIT_CODES.failed, "start-failed", `Host ${name} could not run: ${message}`);
        }
        return { exitCode: EXIT_CODES.ok, data: { ok: true, host: name }, text: `Host ${name} has left.` };
    }
}
