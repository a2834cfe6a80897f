import assert from "node:assert/strict";
import { test } from "node:test";
import { type Account, digestKey, type RequestAccount } from "../../accounts/index.js";
import { compileRouteTable, type Route } from "../../routes/index.js";
import { currentHolder, findKeyProblem, type KeyCheckParts } from "./keyProblem.js";

const KEY = digestKey("asnmgkcuyj8pjbvk9m68");

interface Configured {
    readonly accounts?: readonly (readonly [name: string, keyDigest: string])[];
    readonly isPublic?: boolean;
    readonly millisecondsSinceConfirmed?: number;
}

/** A request that was accepted for the account `mill`, and the configuration in force now. */
function partsOf({ accounts, isPublic = false, millisecondsSinceConfirmed = 0 }: Configured): KeyCheckParts {
    const table = compileRouteTable({
        version: 2,
        routes: [{ hostName: "site.example", pathPrefix: "/reads/", isPublic } as unknown as Route],
        services: [],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
        accounts: accounts?.map(([name, keyDigest]) => ({ name, keyDigests: [keyDigest] }) as unknown as Account),
    });
    const evidence = { knowsNewer: false, millisecondsSinceConfirmed, deadlineMilliseconds: 3_000 };
    return {
        context: { routeTable: () => table, configurationEvidence: () => evidence },
        request: {
            account: { account: { name: "mill" }, keyDigest: KEY } as unknown as RequestAccount,
            target: { host: "site.example", pathAndQuery: "/reads/1?x=2" },
        },
    };
}

test("a waiting request is refused for its key only where no account holds it any more", () => {
    const removed: Configured = { accounts: [["mill", digestKey("another")]] };
    assert.equal(findKeyProblem(partsOf(removed)), "unknown-key");
    assert.equal(findKeyProblem(partsOf({ ...removed, millisecondsSinceConfirmed: 3_001 })), "configuration-outdated");
    assert.equal(findKeyProblem(partsOf({ ...removed, isPublic: true })), undefined);
    assert.equal(findKeyProblem(partsOf({ accounts: [["mill", KEY]] })), undefined);
    assert.equal(findKeyProblem(partsOf({ accounts: [["renamed", KEY]] })), undefined);
    assert.equal(findKeyProblem(partsOf({})), undefined);
});

test("an engine is told the account that holds the key as the request is sent", () => {
    assert.equal(currentHolder(partsOf({ accounts: [["renamed", KEY]] }))?.name, "renamed");
    assert.equal(currentHolder(partsOf({ accounts: [["mill", digestKey("another")]] })), undefined);
    assert.equal(currentHolder(partsOf({}))?.name, "mill");
});
