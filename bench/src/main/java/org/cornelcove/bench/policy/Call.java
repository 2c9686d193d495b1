package org.cornelcove.bench.policy;

/**
 * One request of a caller.
 *
 * @param atUs when it arrives
 * @param tenant the tenant
 * @param kind the kind of work
 * @param runUs how long a target runs it
 * @param declaredUs the size that its sender declares
 * @param deadlineUs the time allowed for the answer
 * @param returns how often it was refused before
 */
record Call(long atUs, String tenant, String kind, long runUs, long declaredUs, long deadlineUs, int returns) {
    Call again(long nowUs) {
        return new Call(nowUs, tenant, kind, runUs, declaredUs, deadlineUs, returns + 1);
    }
}
