/**
 * Base class of the commands that use the key-value service, with the options that name it.
 *
 * @module
 */
import { Option } from "clipanion";
import { Err, Ok, type Result } from "ts-results-es";
import { type KeyValueService } from "../platform/index.js";
import {
    checkUrlOption,
    type CommandOutcome,
    createFailure,
    OperatorCommand,
    readSettings,
} from "./_operatorCommand.js";
import { EXIT_CODES } from "./exitCodes.js";

/** A command that uses the key-value service. */
export abstract class StoreCommand extends OperatorCommand {
    settings = Option.String("--settings", { description: "Settings of a host, which name the key-value service." });
    store = Option.Array("--store", { description: "Base URL of the key-value service; may be given repeatedly." });

    /** Executes the command with a client that is closed afterwards. */
    protected abstract performWith(keyValue: KeyValueService): Promise<CommandOutcome>;

    protected override async perform(): Promise<CommandOutcome> {
        const urls = await this.#findUrls();
        if (urls.isErr()) {
            return urls.error;
        }
        const keyValue = this.context.createKeyValue(urls.value);
        try {
            return await this.performWith(keyValue);
        }
        finally {
            await keyValue.close();
        }
    }

    async #findUrls(): Promise<Result<readonly string[], CommandOutcome>> {
        if ((this.settings === undefined) === (this.store === undefined)) {
            return new Err(createFailure(EXIT_CODES.usage, "usage", "Give either --settings or --store."));
        }
        if (this.settings !== undefined) {
            return (await readSettings(this.settings)).map(({ platform }) => platform.keyValue);
        }
        const urls = this.store ?? [];
        const problem = urls.map(checkUrlOption).find(failure => failure !== undefined);
        return problem === undefined ? new Ok(urls) : new Err(problem);
    }
}
