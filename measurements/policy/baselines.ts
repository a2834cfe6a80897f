/**
 * Routers to compare the policy with: each sends a request on at once and leaves waiting to the engines.
 *
 * @module
 */
import { type Decision, type RandomSource } from "../../src/decision/index.js";
import { type Deployment } from "../../src/generated/deployment.js";
import { type EngineDigest } from "../../src/generated/peers.js";
import { type ModelRequest, type RequestsEffect, type RequestsMessage } from "../../src/requests/index.js";

const MOST_ATTEMPTS = 3;

/** An engine that holds the model, as a router sees it. */
export interface BaselineCandidate {
    readonly engine: string;
    readonly reportedLoad: number;
}

/** Chooses one of at least one candidate. */
export type ChooseBaseline = (candidates: readonly BaselineCandidate[], model: string) => BaselineCandidate | undefined;

/** Chooses any engine. */
export function createRandomChoice(random: RandomSource): ChooseBaseline {
    return candidates => candidates[Math.floor(random() * candidates.length)];
}

/** Takes engines in turn, for each model by itself. */
export function createRoundRobinChoice(random: RandomSource): ChooseBaseline {
    const turns = new Map<string, number>();
    return (candidates, model) => {
        const turn = turns.get(model) ?? Math.floor(random() * candidates.length);
        turns.set(model, turn + 1);
        return candidates[turn % candidates.length];
    };
}

/** Takes the engine whose last report shows the least load, any of those that are equal. */
export function createLeastReportedChoice(random: RandomSource): ChooseBaseline {
    return candidates => {
        const least = Math.min(...candidates.map(candidate => candidate.reportedLoad));
        const equal = candidates.filter(candidate => candidate.reportedLoad === least);
        return equal[Math.floor(random() * equal.length)];
    };
}

/**
 * Creates a router without queue, admission or memory of its own sends.
 *
 * @param choose Chooses the engine.
 * @returns The router, in the shape of a requests decision.
 */
export function createBaselineDecision(choose: ChooseBaseline): Decision<RequestsMessage, RequestsEffect> {
    const requests = new Map<string, { readonly request: ModelRequest; attempts: number; }>();
    const reports = new Map<string, EngineDigest>();
    const copies = new Map<string, readonly string[]>();
    let deployment: Deployment | undefined;

    const listCandidates = (model: string): BaselineCandidate[] => {
        const engines = deployment?.pools.flatMap(pool => pool.engines) ?? [];
        const holding = engines.filter(({ name }) =>
            copies.get(name)?.includes(model) === true && reports.get(name)?.leaving !== true
        );
        return holding.map(({ name }) => {
            const report = reports.get(name);
            return { engine: name, reportedLoad: (report?.running ?? 0) + (report?.waiting ?? 0) };
        });
    };

    const send = (identifier: string, resumeAtToken: number): RequestsEffect[] => {
        const tracked = requests.get(identifier);
        const chosen = tracked === undefined ? undefined : choose(
            listCandidates(tracked.request.model),
            tracked.request.model,
        );
        if (tracked === undefined || chosen === undefined || tracked.attempts >= MOST_ATTEMPTS) {
            requests.delete(identifier);
            const ran = tracked?.attempts === 0 ? "not-run" : "may-have-run";
            return [{ type: "refuse", identifier, reason: "upstream-failed", ran, message: "No engine answered." }];
        }
        tracked.attempts += 1;
        const { attempts: attempt, request } = tracked;
        return [{ type: "dispatch", identifier, attempt, engine: chosen.engine, resumeAtToken, class: request.class }];
    };

    const handle = (message: RequestsMessage): readonly RequestsEffect[] => {
        switch (message.type) {
            case "deployment":
                deployment = message.deployment;
                return [];
            case "residency":
                copies.set(message.digest.engine, message.digest.models.map(model => model.name));
                return [];
            case "engine-observed":
                reports.set(message.digest.engine, message.digest);
                return [];
            case "submit":
                requests.set(message.request.identifier, { request: message.request, attempts: 0 });
                return send(message.request.identifier, 0);
            case "attempt-finished":
                requests.delete(message.identifier);
                return [];
            case "attempt-failed":
                return send(message.identifier, message.deliveredTokens);
            default:
                return [];
        }
    };
    return { handle };
}
