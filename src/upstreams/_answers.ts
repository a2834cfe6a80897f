/**
 * Parser of engines' answers, which checks them against their schemas.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type * as z from "zod";
import { type EngineReport, engineReportSchema } from "../generated/upstreams.js";
import { describeFault, parseDocument } from "../platform/parseDocument.js";
import { describeError } from "../transport/index.js";
import { type HttpAnswer, type SingleConnection } from "./_singleConnection.js";
import { type UpstreamError } from "./types.js";

const STATUS_OK = 200;
const MAXIMUM_ERROR_TEXT_CHARACTERS = 300;
const MAXIMUM_REPORT_BYTES = 4 * 1024 * 1024;

/** Parses an answer's body; a status other than 200 fails as `rejected`, a malformed body as `invalid`. */
export function parseAnswer<Schema extends z.ZodType>(
    schema: Schema,
    answer: HttpAnswer,
): Result<z.infer<Schema>, UpstreamError> {
    if (answer.status !== STATUS_OK) {
        const message = `status ${answer.status}: ${answer.body.slice(0, MAXIMUM_ERROR_TEXT_CHARACTERS)}`;
        return Err({ kind: "rejected", message });
    }
    try {
        const parsed = parseDocument(schema, JSON.parse(answer.body));
        return parsed.success ? Ok(parsed.data) : Err({ kind: "invalid", message: describeFault(parsed.error) });
    }
    catch (error) {
        return Err({ kind: "invalid", message: describeError(error) });
    }
}

/** Reads an engine's report on a connection. */
export async function readReportOn(
    connection: SingleConnection,
    timeoutMilliseconds: number,
): Promise<Result<EngineReport, UpstreamError>> {
    const bounds = { timeoutMilliseconds, maximumAnswerBytes: MAXIMUM_REPORT_BYTES };
    const answer = await connection.call({ method: "GET", path: "/admin/report", ...bounds });
    return answer.andThen(httpAnswer => parseAnswer(engineReportSchema, httpAnswer));
}
