/**
 * The `status` command.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { callHost } from "./_hostCall.js";
import { type CommandOutcome, OperatorCommand } from "./_operatorCommand.js";
import { EXIT_CODES } from "./exitCodes.js";

const INDENTATION = 4;

/** Prints the status that a host reports. */
export class StatusCommand extends OperatorCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        description: "Print the state of a host: configuration, peers, pools and open work.",
        examples: [["Ask a host", "$0 status http://10.20.1.5:8080"]],
    });

    host = Option.String({ required: true, name: "host" });

    protected override async perform(): Promise<CommandOutcome> {
        const answer = await callHost(this.host, "/v1/status", "GET");
        return answer.isErr() ? answer.error : {
            exitCode: EXIT_CODES.ok,
            data: { ok: true, status: answer.value },
            text: JSON.stringify(answer.value, undefined, INDENTATION),
        };
    }
}
