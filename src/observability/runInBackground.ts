/**
 * Runs steps that nobody waits for.
 *
 * @module
 */
import { type Logger } from "./logger.js";

/** Returns the text of a log line's field for something that was thrown. */
export function describeThrown(thrown: unknown): string {
    return thrown instanceof Error ? thrown.stack ?? thrown.message : String(thrown);
}

/**
 * Runs an asynchronous step that nobody waits for. Where it throws, the log says which one and why; without this, the
 * rejection would end the process.
 *
 * @param logger Receives a line where the step throws.
 * @param task Names the step.
 * @param step The step; it begins at once.
 *
 * @example
 * ```ts
 * runInBackground(logger, "probe of upstreams", () => this.#probe());
 * ```
 */
export function runInBackground(logger: Pick<Logger, "error">, task: string, step: () => Promise<unknown>): void {
    const run = async (): Promise<void> => {
        try {
            await step();
        }
        catch (error) {
            logger.error("background task failed", { task, detail: describeThrown(error) });
        }
    };
    void run();
}
