/**
 * Log lines of one request.
 *
 * @module
 */
import { type LogFields } from "../../observability/index.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { type Attempt } from "./attempt.js";
import { type CallerRequest, type RequestFacts } from "./requestFacts.js";

/** Options of {@linkcode RequestLogger}. */
export interface RequestLoggerOptions {
    readonly context: ForwardingContext;
    readonly request: CallerRequest;
    readonly facts: RequestFacts;
}

/** Writes log lines that name the request, its model and its adapter. */
export class RequestLogger {
    readonly #options: RequestLoggerOptions;

    constructor(options: RequestLoggerOptions) {
        this.#options = options;
    }

    info(message: string, fields: LogFields): void {
        const { context, facts: { adapter, model }, request: { account, requestId } } = this.#options;
        const accountField = account === undefined ? {} : { account: account.account.name };
        context.logger.info(message, { request: requestId, ...accountField, model, adapter, ...fields });
    }

    /** Returns log fields with the silence of an attempt, and that of its upstream towards all requests. */
    describeSilence(attempt: Attempt): LogFields {
        return {
            quietMilliseconds: Math.round(attempt.quietMilliseconds),
            upstreamSilentMilliseconds: this.upstreamSilentMilliseconds(attempt),
            callerBlocks: this.#options.request.response.writableNeedDrain,
        };
    }

    /** Returns the time since the attempt's upstream was heard on any request; `undefined` where it never was. */
    upstreamSilentMilliseconds({ upstream }: Attempt): number | undefined {
        const { liveness, readClock } = this.#options.context;
        const milliseconds = liveness.silenceMilliseconds(upstream.id, readClock());
        return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
    }
}
