/**
 * Parses chat completions bodies into requests for routing.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results-es";
import { type ChatRequest, chatRequestSchema, type Refusal } from "../generated/callers.js";
import { type Deployment, type Model, type RequestClass } from "../generated/deployment.js";
import { describeFault, parseDocument } from "../platform/parseDocument.js";
import { type ModelRequest } from "../requests/index.js";
import { createPrefixKeys } from "../upstreams/index.js";
import { createRefusal } from "./refusals.js";

const ADAPTER_SEPARATOR = ":";
/** Fields that do not affect what an engine computes, and are therefore excluded from the fingerprint. */
const DELIVERY_FIELDS = new Set(["stream", "service_tier", "resume_offset"]);

/** A checked chat request. */
export interface ParsedChatRequest {
    readonly request: ModelRequest;
    readonly body: Readonly<Record<string, unknown>>;
    readonly stream: boolean;
    /** Number of tokens that the caller received in an earlier stream. */
    readonly resumeAtToken: number;
}

function parseBody(text: string): Result<ChatRequest, Refusal> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        return Err(createRefusal("invalid-request", `the body is not JSON: ${String(error)}`));
    }
    const checked = parseDocument(chatRequestSchema, value);
    if (!checked.success) {
        return Err(createRefusal("invalid-request", `the body does not fit: ${describeFault(checked.error)}`));
    }
    return Ok(checked.data);
}

function classOf(body: ChatRequest, model: Model): RequestClass {
    return body.service_tier === "urgent" || body.service_tier === "patient" ? body.service_tier : model.class;
}

function fingerprintOf(body: ChatRequest): string {
    const fields = Object.entries(body).filter(([name]) => !DELIVERY_FIELDS.has(name));
    fields.sort(([left], [right]) => left < right ? -1 : 1);
    return createHash("sha256").update(JSON.stringify(fields)).digest("hex");
}

function resumeOffsetOf(body: ChatRequest): Result<number, Refusal> {
    const offset: unknown = body.resume_offset ?? 0;
    if (typeof offset !== "number" || !Number.isSafeInteger(offset) || offset < 0) {
        return Err(
            createRefusal(
                "invalid-request",
                `resume_offset is ${JSON.stringify(offset)}; expected a whole number from 0`,
            ),
        );
    }
    return Ok(offset);
}

/**
 * Checks a chat completions body against its schema and the deployment.
 *
 * @param text The body.
 * @param options The deployment in force, and an identifier for the request.
 * @returns The request, or the refusal to answer with.
 *
 * @example
 * ```ts
 * const parsed = parseChatRequest(body, { deployment, identifier: "r-1" });
 * ```
 */
export function parseChatRequest(
    text: string,
    options: { readonly deployment: Deployment; readonly identifier: string; },
): Result<ParsedChatRequest, Refusal> {
    return parseBody(text).andThen(body => {
        const [modelName = "", adapter] = body.model.split(ADAPTER_SEPARATOR, 2);
        const model = options.deployment.models.find(({ name }) => name === modelName);
        if (model === undefined) {
            return Err(createRefusal("unknown-model", `no model is named ${JSON.stringify(modelName)}`));
        }
        const hasAdapter = options.deployment.adapters.some(({ name, model: adapterModel }) =>
            name === adapter && adapterModel === modelName
        );
        if (adapter !== undefined && !hasAdapter) {
            return Err(
                createRefusal("unknown-adapter", `model ${modelName} has no adapter ${JSON.stringify(adapter)}`),
            );
        }
        return resumeOffsetOf(body).map(resumeAtToken => ({
            request: {
                identifier: options.identifier,
                model: modelName,
                ...(adapter === undefined ? {} : { adapter }),
                class: classOf(body, model),
                fingerprint: fingerprintOf(body),
                prefixKeys: createPrefixKeys(body.model, body.messages),
            },
            body,
            stream: body.stream === true,
            resumeAtToken,
        }));
    });
}
