/**
 * The `drain` command.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { callHost } from "./_hostCall.js";
import { type CommandOutcome, OperatorCommand } from "./_operatorCommand.js";
import { EXIT_CODES } from "./exitCodes.js";

/** Begins the graceful shutdown of a host. */
export class DrainCommand extends OperatorCommand {
    static override paths = [["drain"]];
    static override usage = Command.Usage({
        description: "Begin the graceful shutdown of a host.",
        details: "The host stops being advertised, finishes what it has, and its process exits with 0.",
        examples: [["Drain a host", "$0 drain http://10.20.1.5:8080"]],
    });

    host = Option.String({ required: true, name: "host" });

    protected override async perform(): Promise<CommandOutcome> {
        const answer = await callHost(this.host, "/v1/drain", "POST");
        return answer.isErr() ? answer.error : {
            exitCode: EXIT_CODES.ok,
            data: { ok: true, draining: true },
            text: `${this.host} is leaving; its process exits once its work is finished.`,
        };
    }
}
