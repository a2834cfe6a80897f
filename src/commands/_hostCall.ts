/**
 * Calls a host's operator API.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { request } from "undici";
import { refuseBrokenResponse } from "../transport/answers/index.js";
import { checkUrlOption, type CommandOutcome, createFailure } from "./_operatorCommand.js";
import { EXIT_CODES } from "./exitCodes.js";

const TIMEOUT_MILLISECONDS = 5000;
const FIRST_ERROR_STATUS = 400;

/**
 * Calls a host and returns its parsed answer, or the outcome of a failed call.
 *
 * @param host Base URL of the host's callers address.
 * @param path Path of the call.
 * @param method HTTP method.
 */
export async function callHost(
    host: string,
    path: string,
    method: "GET" | "POST",
): Promise<Result<unknown, CommandOutcome>> {
    const problem = checkUrlOption(host);
    if (problem !== undefined) {
        return new Err(problem);
    }
    try {
        const signal = AbortSignal.timeout(TIMEOUT_MILLISECONDS);
        const answer = await request(`${host}${path}`, { method, signal });
        const fault = refuseBrokenResponse(answer);
        if (fault !== undefined) {
            return new Err(createFailure(EXIT_CODES.failed, "no-answer", `${host} gave a broken answer: ${fault}`));
        }
        const body = await answer.body.text();
        return answer.statusCode < FIRST_ERROR_STATUS
            ? new Ok(JSON.parse(body) as unknown)
            : new Err(createFailure(EXIT_CODES.failed, "refused", `${host} answered ${answer.statusCode}: ${body}`));
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        return new Err(createFailure(EXIT_CODES.failed, "no-answer", `${host} gave no usable answer: ${message}`));
    }
}
