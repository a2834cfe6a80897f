/**
 * The `show` command.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { decodeRecordText, readConfiguration } from "../configuration/index.js";
import { type KeyValueService } from "../platform/index.js";
import { type CommandOutcome, createFailure } from "./_operatorCommand.js";
import { StoreCommand } from "./_store.js";
import { EXIT_CODES } from "./exitCodes.js";

/** Prints the configuration stored in the key-value service. */
export class ShowCommand extends StoreCommand {
    static override paths = [["show"]];
    static override usage = Command.Usage({
        description: "Print the text that is in force, with its revision.",
        details: "The first line is a comment with the revision, which `apply --expect` takes.",
        examples: [
            ["Show the text", "$0 show --settings host.jsonc"],
            ["Save the bare text", "$0 show --text --store http://10.20.1.2:2379 > sakan.jsonc"],
        ],
    });

    text = Option.Boolean("--text", false, { description: "Print the text alone, as it was applied." });

    protected override async performWith(keyValue: KeyValueService): Promise<CommandOutcome> {
        const stored = await readConfiguration(keyValue);
        if (stored.isErr()) {
            return createFailure(EXIT_CODES.platformUnreachable, "unreachable", stored.error.message);
        }
        const { record } = stored.value;
        if (record === undefined) {
            return createFailure(EXIT_CODES.failed, "no-configuration", "No configuration has been applied yet.");
        }
        const decoded = decodeRecordText(record);
        if (decoded.isErr()) {
            return createFailure(EXIT_CODES.failed, "unreadable-record", decoded.error);
        }
        const text = decoded.value;
        const { revision, changeIdentifier, operator } = record;
        const appliedAt = new Date(record.appliedAtMilliseconds).toISOString();
        const heading = `// revision ${revision}, change ${changeIdentifier} by ${operator} at ${appliedAt}`;
        return {
            exitCode: EXIT_CODES.ok,
            data: { ok: true, ...record, encoding: "plain", text },
            text: this.text ? text.trimEnd() : `${heading}\n${text.trimEnd()}`,
        };
    }
}
