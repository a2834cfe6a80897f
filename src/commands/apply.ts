/**
 * The `apply` command.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { match } from "ts-pattern";
import { type AppliedChange, applyDeployment, type ApplyFailure } from "../configuration/index.js";
import { type ConfigurationRecord } from "../generated/platform.js";
import { type KeyValueService } from "../platform/index.js";
import { type CommandOutcome, createFailure, createInvalidTextOutcome, readTextFile } from "./_operatorCommand.js";
import { parseCount } from "./_parseCount.js";
import { StoreCommand } from "./_store.js";
import { EXIT_CODES } from "./exitCodes.js";

function describe(record: ConfigurationRecord | undefined): string {
    return record === undefined
        ? "nothing"
        : `revision ${record.revision}, change ${record.changeIdentifier} by ${record.operator}`;
}

function renderApplied(change: AppliedChange): CommandOutcome {
    const { revision, changeIdentifier } = change.record;
    const verb = change.type === "applied" ? "Applied" : "Nothing to change: already applied";
    const superseding = change.supersededBy === undefined
        ? ""
        : `; revision ${change.supersededBy} has replaced it since`;
    return {
        exitCode: EXIT_CODES.ok,
        data: { ok: true, outcome: change.type, revision, changeIdentifier, supersededBy: change.supersededBy },
        text: `${verb} as revision ${revision}, change ${changeIdentifier}${superseding}`,
    };
}

function renderConflict(failure: Extract<ApplyFailure, { type: "conflict"; }>, base: string): CommandOutcome {
    return {
        exitCode: EXIT_CODES.conflict,
        data: { ok: false, reason: "conflict", read: failure.read, current: failure.current },
        text: [
            "Not applied: another change came first.",
            `  yours started from: ${base}`,
            `  in force now:       ${describe(failure.current)}`,
            "Compare with `flamingospread show`, merge your change into that configuration, and apply again.",
        ].join("\n"),
    };
}

function renderFailure(failure: ApplyFailure, expectedRevision: number | undefined): CommandOutcome {
    const base = expectedRevision === undefined ? undefined : `revision ${expectedRevision}`;
    return match(failure)
        .with({ type: "invalid" }, ({ problems }) => createInvalidTextOutcome(problems))
        .with({ type: "conflict" }, conflict => renderConflict(conflict, base ?? describe(conflict.read)))
        .with(
            { type: "unreachable" },
            ({ message }) => createFailure(EXIT_CODES.platformUnreachable, "unreachable", `Not applied: ${message}`),
        )
        .with({ type: "unknown" }, ({ message, changeIdentifier }) => ({
            exitCode: EXIT_CODES.platformUnreachable,
            data: { ok: false, reason: "unknown", message, changeIdentifier },
            text: `Change ${changeIdentifier} may or may not be applied: ${message}. Run the same command again.`,
        }))
        .exhaustive();
}

/** Applies a configuration. */
export class ApplyCommand extends StoreCommand {
    static override paths = [["apply"]];
    static override usage = Command.Usage({
        description: "Check the operators' text and put it into force.",
        details: `
            The change takes effect only if nobody else changed the configuration since it was read. With --expect, only
            if the revision in force is still the one that you started from, as \`show\` printed it.
        `,
        examples: [
            ["Apply a text that was edited from revision 7", "$0 apply --settings host.jsonc --expect 7 sakan.jsonc"],
            ["Apply the first text", "$0 apply --store http://10.20.1.2:2379 --expect 0 sakan.jsonc"],
        ],
    });

    expect = Option.String("--expect", { description: "Revision that your text started from; 0 for none." });
    lowestRevision = Option.String("--lowest-revision", {
        description: "Lowest revision to give; for a key-value service that lost what it held.",
    });
    operator = Option.String("--operator", { description: "Name to keep with the change. Default: the user's name." });
    file = Option.String({ required: true, name: "text" });

    protected override async performWith(keyValue: KeyValueService): Promise<CommandOutcome> {
        const expectedRevision = parseCount("--expect", this.expect);
        const lowestRevision = parseCount("--lowest-revision", this.lowestRevision);
        const text = await readTextFile(this.file);
        for (const input of [expectedRevision, lowestRevision, text]) {
            if (input.isErr()) {
                return input.error;
            }
        }
        const outcome = await applyDeployment(text.unwrap(), {
            keyValue,
            fileName: this.file,
            operator: this.operator ?? this.context.operator,
            createIdentifier: this.context.createIdentifier,
            readTimeOfDay: this.context.readTimeOfDay,
            wait: this.context.wait,
            expectedRevision: expectedRevision.unwrap(),
            lowestRevision: lowestRevision.unwrap(),
        });
        return outcome.isOk() ? renderApplied(outcome.value) : renderFailure(outcome.error, expectedRevision.unwrap());
    }
}
