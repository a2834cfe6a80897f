/**
 * The `check` command.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { parseDeployment, parseSettings } from "../configuration/index.js";
import { type CommandOutcome, createInvalidTextOutcome, OperatorCommand, readTextFile } from "./_operatorCommand.js";
import { EXIT_CODES } from "./exitCodes.js";

/** Checks a configuration or a host's settings without applying them. */
export class CheckCommand extends OperatorCommand {
    static override paths = [["check"]];
    static override usage = Command.Usage({
        description: "Check the operators' text, or a host's settings.",
        details: "Nothing is changed. Each problem names file, line, column, the value found and what is allowed.",
        examples: [
            ["Check a text", "$0 check examples/sakan.jsonc"],
            ["Check settings", "$0 check --host-settings examples/host.jsonc"],
        ],
    });

    hostSettings = Option.Boolean("--host-settings", false, { description: "The file holds settings of a host." });
    file = Option.String({ required: true, name: "text" });

    protected override async perform(): Promise<CommandOutcome> {
        const text = await readTextFile(this.file);
        if (text.isErr()) {
            return text.error;
        }
        return this.hostSettings ? this.#checkSettings(text.value) : this.#checkDeployment(text.value);
    }

    #checkSettings(text: string): CommandOutcome {
        const outcome = parseSettings(text, { fileName: this.file });
        return outcome.isErr() ? createInvalidTextOutcome(outcome.error) : {
            exitCode: EXIT_CODES.ok,
            data: { ok: true, host: outcome.value.host },
            text: `${this.file}: valid settings of host ${outcome.value.host}`,
        };
    }

    #checkDeployment(text: string): CommandOutcome {
        const outcome = parseDeployment(text, { fileName: this.file });
        if (outcome.isErr()) {
            return createInvalidTextOutcome(outcome.error);
        }
        const { deployment, pools, models, adapters, services } = outcome.value;
        const engines = pools.reduce((sum, pool) => sum + pool.engines.length, 0);
        const counts = {
            pools: pools.length,
            engines,
            models: models.length,
            adapters: adapters.length,
            services: services.length,
        };
        const listed = Object.entries(counts).map(([kind, count]) => `${count} ${kind}`).join(", ");
        return {
            exitCode: EXIT_CODES.ok,
            data: { ok: true, deployment, ...counts },
            text: `${this.file}: valid configuration of ${deployment}: ${listed}`,
        };
    }
}
